//! The state machine as voters play it: good changes, bad ones, words that come late, and whatever is said in whatever order.

use maplehook_canary::Side;
use maplehook_rollout::order::Member;
use maplehook_rollout::plan::LostContactPolicy;
use maplehook_rollout::rollout::MAX_EVENTS;
use maplehook_rollout::{Command, Rollout, RolloutError, RolloutState, StageVerdict, side_without_leader};
use proptest::prelude::*;
use std::time::Duration;

const STAGES: &str = "[[stage]]\nnames = ['b0']\n[[stage]]\nshare = 0.5\n[[stage]]\nshare = 1.0\n";

fn rollout() -> Rollout {
    let plan = maplehook_rollout::plan::parse(&format!("[change]\nprogram = 'p'\n{STAGES}")).unwrap();
    let members: Vec<Member> =
        (0..4).map(|n| Member { name: format!("b{n}"), zone: format!("z{}", n % 2) }).collect();
    Rollout::new(1, plan, &members).unwrap()
}

fn stand(rollout: &mut Rollout, side: Side) {
    for name in (0..4).map(|n| format!("b{n}")) {
        let is = if rollout.target_side(&name) == Side::New { side } else { Side::Old };
        let heard = rollout.step;
        rollout.apply(&Command::ReportSide { name, side: is, known_step: heard }).unwrap();
    }
}

fn judge(rollout: &mut Rollout, judged: StageVerdict) -> Result<(), RolloutError> {
    let (step, stage) = (rollout.step, rollout.stage().unwrap_or(0));
    rollout.apply(&Command::ApplyVerdict { step, stage, verdict: judged })
}

#[test]
fn a_good_change_goes_through_stage_by_stage() {
    let mut rollout = rollout();
    assert_eq!(judge(&mut rollout, StageVerdict::Pass), Err(RolloutError::WrongState("planned".into())));
    rollout.apply(&Command::Proceed { step: 0 }).unwrap();
    for stage in 0..3 {
        assert_eq!(rollout.state, RolloutState::Running(stage));
        assert!(matches!(judge(&mut rollout, StageVerdict::Pass), Err(RolloutError::StageIncomplete { .. })));
        stand(&mut rollout, Side::New);
        assert_eq!(judge(&mut rollout, StageVerdict::Pass), Ok(()));
    }
    assert_eq!(rollout.state, RolloutState::Completed);
    assert!((0..4).all(|n| rollout.target_side(&format!("b{n}")) == Side::New));
    // Back from there, as long as nothing rests on it.
    let mut used = rollout.clone();
    used.irreversible_feature = Some("wire version 2".into());
    let step = rollout.step;
    assert!(matches!(
        used.apply(&Command::RollBack { step, why: "x".into() }),
        Err(RolloutError::Irreversible(_))
    ));
    rollout.apply(&Command::RollBack { step, why: "x".into() }).unwrap();
    stand(&mut rollout, Side::Old);
    assert_eq!(rollout.state, RolloutState::RolledBack { why: "x".into() });
}

#[test]
fn what_is_worse_is_undone_and_it_is_said_who_is_left() {
    let mut rollout = rollout();
    rollout.apply(&Command::Proceed { step: 0 }).unwrap();
    stand(&mut rollout, Side::New);
    judge(&mut rollout, StageVerdict::Pass).unwrap();
    stand(&mut rollout, Side::New);
    judge(&mut rollout, StageVerdict::Regression("failed".into())).unwrap();
    assert_eq!(rollout.state, RolloutState::RollingBack { why: "failed".into() });
    assert!((0..4).all(|n| rollout.target_side(&format!("b{n}")) == Side::Old));
    // Undone while it is undone: the same.
    let step = rollout.step;
    rollout.apply(&Command::RollBack { step, why: "again".into() }).unwrap();
    assert_eq!(rollout.step, step);
    rollout.apply(&Command::ReportSide { name: "b0".into(), side: Side::Old, known_step: step - 1 }).unwrap();
    assert!(rollout.unconfirmed_members().contains(&"b0".into()), "it has not heard that it is undone");
    rollout.apply(&Command::ReportSide { name: "b0".into(), side: Side::Old, known_step: step }).unwrap();
    rollout.apply(&Command::GiveUpRollback { step }).unwrap();
    let RolloutState::RollbackFailed { members: who, .. } = &rollout.state else {
        panic!("{:?}", rollout.state)
    };
    assert!(who.len() == 1 && who[0] != "b0", "{who:?}");
    // It comes back, and is as before.
    stand(&mut rollout, Side::Old);
    assert_eq!(rollout.state, RolloutState::RolledBack { why: "failed".into() });
}

#[test]
fn trouble_on_both_sides_holds_until_it_is_over_and_an_operators_hold_until_he_says_so() {
    let mut rollout = rollout();
    rollout.apply(&Command::Proceed { step: 0 }).unwrap();
    stand(&mut rollout, Side::New);
    judge(&mut rollout, StageVerdict::SharedFault("slow upstreams".into())).unwrap();
    assert!(matches!(judge(&mut rollout, StageVerdict::Pass), Err(RolloutError::WrongState(_))));
    judge(&mut rollout, StageVerdict::Recovered).unwrap();
    assert_eq!(rollout.state, RolloutState::Running(0));
    let step = rollout.step;
    rollout.apply(&Command::Pause { step }).unwrap();
    judge(&mut rollout, StageVerdict::Recovered).unwrap();
    assert!(matches!(rollout.state, RolloutState::Paused { by_operator: true, .. }));
    let step = rollout.step;
    rollout.apply(&Command::Proceed { step }).unwrap();
    judge(&mut rollout, StageVerdict::Inconclusive("few requests".into())).unwrap();
    assert!(
        matches!(rollout.state, RolloutState::Paused { by_operator: true, .. }),
        "too little never advances"
    );
    // Held or not, harm is undone.
    judge(&mut rollout, StageVerdict::Regression("failed".into())).unwrap();
    assert!(matches!(rollout.state, RolloutState::RollingBack { .. }));
}

/// A leader that was cut off judges by what it knew: its words come late, and change nothing.
#[test]
fn what_comes_late_changes_nothing() {
    let mut rollout = rollout();
    rollout.apply(&Command::Proceed { step: 0 }).unwrap();
    stand(&mut rollout, Side::New);
    let late = rollout.step;
    rollout.apply(&Command::Pause { step: late }).unwrap();
    let step = rollout.step;
    rollout.apply(&Command::Proceed { step }).unwrap();
    let before = rollout.clone();
    for command in [
        Command::ApplyVerdict { step: late, stage: 0, verdict: StageVerdict::Pass },
        Command::ApplyVerdict { step: late, stage: 0, verdict: StageVerdict::Regression("x".into()) },
        Command::RollBack { step: late, why: "x".into() },
        Command::Pause { step: late },
    ] {
        assert_eq!(rollout.apply(&command), Err(RolloutError::Stale { step: before.step }), "{command:?}");
    }
    assert_eq!(rollout, before);
}

#[test]
fn whoever_is_cut_off_goes_back_or_stays_by_the_plan() {
    let mut plan = rollout().plan;
    let (short, long) = (Duration::from_secs(10), Duration::from_secs(60));
    assert_eq!(side_without_leader(&plan, Side::New, false, short), Side::New);
    assert_eq!(side_without_leader(&plan, Side::New, false, long), Side::Old);
    assert_eq!(
        side_without_leader(&plan, Side::New, true, long),
        Side::New,
        "what is done is no trial any more"
    );
    assert_eq!(side_without_leader(&plan, Side::Old, false, long), Side::Old);
    plan.lost_contact_policy = LostContactPolicy::Stay;
    assert_eq!(side_without_leader(&plan, Side::New, false, long), Side::New);
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
                0 => Command::Proceed { step },
                1 => Command::Pause { step },
                2 if late == 2 => Command::RollBack { step, why: "x".into() },
                3..=5 => Command::ReportSide { name: format!("b{n}"), side, known_step: step },
                6 => Command::ApplyVerdict { step, stage, verdict: StageVerdict::Pass },
                7 => Command::ApplyVerdict { step, stage, verdict: if new { StageVerdict::SharedFault("x".into()) } else { StageVerdict::Recovered } },
                8 if late == 1 => Command::ApplyVerdict { step, stage, verdict: StageVerdict::Regression("x".into()) },
                _ => Command::GiveUpRollback { step },
            };
            let before = rollout.clone();
            let played = rollout.apply(&command);
            if played.is_err() {
                prop_assert_eq!(&before, &rollout, "what is refused changes nothing");
            }
            if rollout.passed_stages > well {
                prop_assert_eq!(rollout.passed_stages, well + 1);
                prop_assert!(before.pending_members().is_empty());
                well = rollout.passed_stages;
            }
            let ahead = rollout.stage().unwrap_or(0);
            prop_assert!(ahead <= well);
            for n in 0..4 {
                let name = format!("b{n}");
                if rollout.target_side(&name) == Side::New {
                    prop_assert!(rollout.state == RolloutState::Completed || rollout.order.is_in_stage(well, &name));
                }
            }
            if let RolloutState::RolledBack { .. } = rollout.state {
                prop_assert!(rollout.unconfirmed_members().is_empty());
            }
            prop_assert!(rollout.events.len() <= MAX_EVENTS);
        }
    }
}
