//! The state machine as voters play it: good changes, bad ones, words that come late, and whatever is said in whatever order.

use maplehook_canary::Side;
use maplehook_rollout::order::Member;
use maplehook_rollout::plan::WhenCutOff;
use maplehook_rollout::state::{Command, EVENTS_MOST, Judged, Refused, Rollout, State, cut_off};
use proptest::prelude::*;
use std::time::Duration;

const STAGES: &str = "[[stage]]\nnames = ['b0']\n[[stage]]\nshare = 0.5\n[[stage]]\nshare = 1.0\n";

fn rollout() -> Rollout {
    let plan = maplehook_rollout::plan::read(&format!("[change]\nprogram = 'p'\n{STAGES}")).unwrap();
    let members: Vec<Member> =
        (0..4).map(|n| Member { name: format!("b{n}"), zone: format!("z{}", n % 2) }).collect();
    Rollout::new(1, plan, &members).unwrap()
}

fn stand(rollout: &mut Rollout, side: Side) {
    for name in (0..4).map(|n| format!("b{n}")) {
        let is = if rollout.wanted(&name) == Side::New { side } else { Side::Old };
        let heard = rollout.step;
        rollout.play(&Command::Stands { name, side: is, heard }).unwrap();
    }
}

fn judge(rollout: &mut Rollout, judged: Judged) -> Result<(), Refused> {
    let (step, stage) = (rollout.step, rollout.stage().unwrap_or(0));
    rollout.play(&Command::Judge { step, stage, judged })
}

#[test]
fn a_good_change_goes_through_stage_by_stage() {
    let mut rollout = rollout();
    assert_eq!(judge(&mut rollout, Judged::Well), Err(Refused::State("planned".into())));
    rollout.play(&Command::Go { step: 0 }).unwrap();
    for stage in 0..3 {
        assert_eq!(rollout.state, State::Running(stage));
        assert!(matches!(judge(&mut rollout, Judged::Well), Err(Refused::Unplaced { .. })));
        stand(&mut rollout, Side::New);
        assert_eq!(judge(&mut rollout, Judged::Well), Ok(()));
    }
    assert_eq!(rollout.state, State::Done);
    assert!((0..4).all(|n| rollout.wanted(&format!("b{n}")) == Side::New));
    // Back from there, as long as nothing rests on it.
    let mut used = rollout.clone();
    used.used = Some("wire version 2".into());
    let step = rollout.step;
    assert!(matches!(used.play(&Command::Undo { step, why: "x".into() }), Err(Refused::Floor(_))));
    rollout.play(&Command::Undo { step, why: "x".into() }).unwrap();
    stand(&mut rollout, Side::Old);
    assert_eq!(rollout.state, State::Undone { why: "x".into() });
}

#[test]
fn what_is_worse_is_undone_and_it_is_said_who_is_left() {
    let mut rollout = rollout();
    rollout.play(&Command::Go { step: 0 }).unwrap();
    stand(&mut rollout, Side::New);
    judge(&mut rollout, Judged::Well).unwrap();
    stand(&mut rollout, Side::New);
    judge(&mut rollout, Judged::Worse("failed".into())).unwrap();
    assert_eq!(rollout.state, State::Undoing { why: "failed".into() });
    assert!((0..4).all(|n| rollout.wanted(&format!("b{n}")) == Side::Old));
    // Undone while it is undone: the same.
    let step = rollout.step;
    rollout.play(&Command::Undo { step, why: "again".into() }).unwrap();
    assert_eq!(rollout.step, step);
    rollout.play(&Command::Stands { name: "b0".into(), side: Side::Old, heard: step - 1 }).unwrap();
    assert!(rollout.doubtful().contains(&"b0".into()), "it has not heard that it is undone");
    rollout.play(&Command::Stands { name: "b0".into(), side: Side::Old, heard: step }).unwrap();
    rollout.play(&Command::GiveUp { step }).unwrap();
    let State::FailedToUndo { who, .. } = &rollout.state else { panic!("{:?}", rollout.state) };
    assert!(who.len() == 1 && who[0] != "b0", "{who:?}");
    // It comes back, and is as before.
    stand(&mut rollout, Side::Old);
    assert_eq!(rollout.state, State::Undone { why: "failed".into() });
}

#[test]
fn trouble_on_both_sides_holds_until_it_is_over_and_an_operators_hold_until_he_says_so() {
    let mut rollout = rollout();
    rollout.play(&Command::Go { step: 0 }).unwrap();
    stand(&mut rollout, Side::New);
    judge(&mut rollout, Judged::Shared("slow upstreams".into())).unwrap();
    assert!(matches!(judge(&mut rollout, Judged::Well), Err(Refused::State(_))));
    judge(&mut rollout, Judged::Clear).unwrap();
    assert_eq!(rollout.state, State::Running(0));
    let step = rollout.step;
    rollout.play(&Command::Hold { step }).unwrap();
    judge(&mut rollout, Judged::Clear).unwrap();
    assert!(matches!(rollout.state, State::Held { operator: true, .. }));
    let step = rollout.step;
    rollout.play(&Command::Go { step }).unwrap();
    judge(&mut rollout, Judged::Short("few requests".into())).unwrap();
    assert!(matches!(rollout.state, State::Held { operator: true, .. }), "too little never advances");
    // Held or not, harm is undone.
    judge(&mut rollout, Judged::Worse("failed".into())).unwrap();
    assert!(matches!(rollout.state, State::Undoing { .. }));
}

/// A leader that was cut off judges by what it knew: its words come late, and change nothing.
#[test]
fn what_comes_late_changes_nothing() {
    let mut rollout = rollout();
    rollout.play(&Command::Go { step: 0 }).unwrap();
    stand(&mut rollout, Side::New);
    let late = rollout.step;
    rollout.play(&Command::Hold { step: late }).unwrap();
    let step = rollout.step;
    rollout.play(&Command::Go { step }).unwrap();
    let before = rollout.clone();
    for command in [
        Command::Judge { step: late, stage: 0, judged: Judged::Well },
        Command::Judge { step: late, stage: 0, judged: Judged::Worse("x".into()) },
        Command::Undo { step: late, why: "x".into() },
        Command::Hold { step: late },
    ] {
        assert_eq!(rollout.play(&command), Err(Refused::Late { step: before.step }), "{command:?}");
    }
    assert_eq!(rollout, before);
}

#[test]
fn whoever_is_cut_off_goes_back_or_stays_by_the_plan() {
    let mut plan = rollout().plan;
    let (short, long) = (Duration::from_secs(10), Duration::from_secs(60));
    assert_eq!(cut_off(&plan, Side::New, false, short), Side::New);
    assert_eq!(cut_off(&plan, Side::New, false, long), Side::Old);
    assert_eq!(cut_off(&plan, Side::New, true, long), Side::New, "what is done is no trial any more");
    assert_eq!(cut_off(&plan, Side::Old, false, long), Side::Old);
    plan.when_cut_off = WhenCutOff::Stay;
    assert_eq!(cut_off(&plan, Side::New, false, long), Side::New);
}

fn command() -> impl Strategy<Value = (u8, usize, bool, u64)> {
    (0u8..9, 0usize..4, any::<bool>(), 0u64..3)
}

proptest! {
    /// Whatever is said, in whatever order, late or not: nobody is wanted changed who is not in the first stage that was not
    /// judged well, verdicts are never skipped, and after an undoing nobody is wanted changed.
    #[test]
    fn never_ahead_of_a_verdict(commands in prop::collection::vec(command(), 0..60)) {
        let mut rollout = rollout();
        let mut well = 0;
        for (kind, n, new, late) in commands {
            let step = rollout.step.saturating_sub(late);
            let stage = n.min(2);
            let side = if new { Side::New } else { Side::Old };
            let command = match kind {
                0 => Command::Go { step },
                1 => Command::Hold { step },
                2 if late == 2 => Command::Undo { step, why: "x".into() },
                3..=5 => Command::Stands { name: format!("b{n}"), side, heard: step },
                6 => Command::Judge { step, stage, judged: Judged::Well },
                7 => Command::Judge { step, stage, judged: if new { Judged::Shared("x".into()) } else { Judged::Clear } },
                8 if late == 1 => Command::Judge { step, stage, judged: Judged::Worse("x".into()) },
                _ => Command::GiveUp { step },
            };
            let before = rollout.clone();
            let played = rollout.play(&command);
            if played.is_err() {
                prop_assert_eq!(&before, &rollout, "what is refused changes nothing");
            }
            if rollout.judged > well {
                prop_assert_eq!(rollout.judged, well + 1);
                prop_assert!(before.unplaced().is_empty());
                well = rollout.judged;
            }
            let ahead = rollout.stage().unwrap_or(0);
            prop_assert!(ahead <= well);
            for n in 0..4 {
                let name = format!("b{n}");
                if rollout.wanted(&name) == Side::New {
                    prop_assert!(rollout.state == State::Done || rollout.order.is_in(well, &name));
                }
            }
            if let State::Undone { .. } = rollout.state {
                prop_assert!(rollout.doubtful().is_empty());
            }
            prop_assert!(rollout.events.len() <= EVENTS_MOST);
        }
    }
}
