//! Answers without a stated length: those that may become long go on, those that stop or trickle do not.

use maplehook_core::unsized_answer::UnsizedAnswer;
use std::time::Duration;

/// Time by which a short answer has to end.
const END_BY: Duration = Duration::from_millis(800);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Plays pieces that arrive at these times, and returns the answer as it waits for the next one.
fn received(pieces: &[(u64, usize)]) -> UnsizedAnswer {
    let mut answer = UnsizedAnswer::default();
    answer.on_wait(ms(0));
    for (at, bytes) in pieces {
        answer.on_data(ms(*at), *bytes);
        answer.on_wait(ms(*at));
    }
    answer
}

/// Returns pieces of `bytes` that arrive every 20 ms.
fn steady(bytes: usize, until: u64) -> Vec<(u64, usize)> {
    (1..=until / 20).map(|step| (20 * step, bytes)).collect()
}

/// 66 KB over 2.5 s: the answer becomes long only after its time.
#[test]
fn a_steady_answer_goes_on() {
    let answer = received(&steady(528, 780));
    assert!(answer.is_coming(ms(800)));
    assert!(answer.cut_off_at(END_BY).unwrap() > ms(900));
}

#[test]
fn lumps_with_uneven_gaps_go_on() {
    let answer = received(&[(0, 2000), (400, 30_000)]);
    assert!(answer.is_coming(ms(1190)));
    assert_eq!(answer.cut_off_at(END_BY), Some(ms(1200)));
}

/// Guards against answers that never end, whatever came of them at once.
#[test]
fn an_answer_that_stops_after_its_first_bytes_is_cut_off_in_time() {
    for bytes in [1, 200, 20_000, 60_000] {
        let answer = received(&[(1, bytes)]);
        assert!(!answer.is_coming(ms(400)), "{bytes} bytes");
        assert_eq!(answer.cut_off_at(END_BY), Some(END_BY), "{bytes} bytes");
    }
}

/// 20 KB over 1.5 s, and one byte a second.
#[test]
fn an_answer_that_trickles_is_cut_off_in_time() {
    for answer in [received(&steady(266, 780)), received(&[(0, 1), (1000, 1), (2000, 1)])] {
        assert!(!answer.is_coming(ms(2500)));
        assert!(answer.cut_off_at(END_BY).unwrap() <= END_BY.max(ms(2000)));
    }
}

/// Guards slow clients: while nothing is expected of the upstream, its answer is not cut off.
#[test]
fn an_answer_whose_reader_is_slow_is_not_cut_off() {
    let mut answer = UnsizedAnswer::default();
    answer.on_data(ms(0), 100);
    assert_eq!(answer.cut_off_at(END_BY), None);
    assert!(answer.is_coming(ms(5000)));
}

/// Guards the beginnings of long answers, and failures with a status in the place of short ones that have stopped.
#[test]
fn only_an_answer_of_some_length_may_become_long() {
    let mut answer = UnsizedAnswer::default();
    answer.on_data(Duration::ZERO, 200);
    assert!(!answer.may_become_long());
    answer.on_data(Duration::ZERO, 1800);
    assert!(answer.may_become_long());
}
