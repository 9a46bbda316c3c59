//! The rules, explored over the real modules; mutants that have to be caught; and the paper's own experiment.

use maplehook_simulator::paper::{Paper, Rates, Reading, play, ratios};
use maplehook_simulator::rules;
use std::time::Duration;

/// Guards the module's rules in every order of events up to seven, and the exploration itself: each planted flaw is
/// caught.
#[test]
fn no_order_of_events_breaks_a_rule_and_every_mutant_is_caught() {
    let (text, sound) = rules::explore_all();
    assert!(sound, "{text}");
    assert_eq!(text.matches("no rule broken").count(), 4, "{text}");
    assert_eq!(text.matches("caught: ").count(), 9, "{text}");
}

/// A game of known size: all its sequences are played, each once.
#[test]
fn an_exploration_leaves_nothing_out() {
    struct Count(Vec<usize>);
    impl rules::Game for Count {
        fn moves(&self) -> usize {
            3 - self.0.iter().filter(|m| **m == 2).count()
        }
        fn name(&self, number: usize) -> String {
            number.to_string()
        }
        fn play(&mut self, number: usize) -> Result<(), String> {
            self.0.push(number);
            if self.0 == [1, 2, 0, 1] { Err("planted".into()) } else { Ok(()) }
        }
    }
    let seen = rules::explore(&|| Count(Vec::new()), 3);
    // Of 27, those with a 2 have one move less from there on: 8 + 4 + 2 * 2 + 1 * ... counted by hand as 20.
    let by_hand = (0..27)
        .filter(|n| {
            let moves = [n / 9, n / 3 % 3, n % 3];
            let mut width = 3;
            moves.iter().all(|m| {
                let fits = *m < width;
                width -= usize::from(*m == 2);
                fits
            })
        })
        .count() as u64;
    assert_eq!((seen.paths, seen.broken), (by_hand, None));
    let broken = rules::explore(&|| Count(Vec::new()), 4).broken.unwrap();
    assert_eq!(broken, (["1", "2", "0", "1"].map(String::from).to_vec(), "planted".into()));
}

/// The paper's figures as far as they come out: adaptive rates carry more; read to the letter, mean delays lie within
/// a tenth of the printed 49 and 49.5 ms, that of adaptive rates above that of static ones.
#[test]
fn the_paper_comes_out_where_it_does() {
    let of = |reading, rates| play(&Paper { reading, rates, ..Paper::default() });
    for reading in [Reading::Printed, Reading::Plain] {
        let (fixed, adaptive) = (of(reading, Rates::Static), of(reading, Rates::Adaptive));
        let (gain, _) = ratios(&fixed, &adaptive);
        assert!((2.0..16.0).contains(&gain), "{reading:?}: {gain}");
        assert!(adaptive.refused < fixed.refused && adaptive.delay_ms >= fixed.delay_ms, "{reading:?}");
        assert_eq!(fixed.asked, adaptive.asked, "the same clients");
    }
    let fixed = of(Reading::Printed, Rates::Static).delay_ms;
    let adaptive = of(Reading::Printed, Rates::Adaptive).delay_ms;
    assert!((fixed / 49.0 - 1.0).abs() < 0.1 && (adaptive / 49.5 - 1.0).abs() < 0.1, "{fixed} {adaptive}");
}

/// Strangers that each grant the whole room lose more at the converters than those that share it.
#[test]
fn proxies_that_each_grant_the_whole_room_lose_more() {
    let lasts = Duration::from_secs(120);
    let base = Paper { proxies: 16, crowd: 2.0, lasts, ..Paper::default() };
    let (strangers, sharing) = (play(&base), play(&Paper { rates: Rates::Shared, ..base.clone() }));
    assert!(strangers.lost > 1.3 * sharing.lost, "{} {}", strangers.lost, sharing.lost);
    assert!(strangers.over_room > sharing.over_room);
}
