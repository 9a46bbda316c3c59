//! Tests of the plan's file: what is read, the defaults, and each fault with its line.

use super::*;

#[test]
fn a_plan_is_read() {
    let plan = parse(
        "[change]\nsettings = 'new.toml'\nwhen_short = 'undo'\ncut_off_s = 5\n[[stage]]\nnames = ['b1']\nleast_s = 3\n\
         [[stage]]\nshare = 0.25\n[[stage]]\nshare = 1.0\n[bounds]\nfailed = 0.1\nfalse_stops = 0.05\n",
    )
    .unwrap();
    assert_eq!(plan.change, Change::Settings("new.toml".into()));
    assert_eq!(
        (plan.inconclusive_policy, plan.lost_contact_policy),
        (InconclusivePolicy::RollBack, LostContactPolicy::RollBack)
    );
    assert_eq!((plan.stages.len(), plan.thresholds.stages), (3, 3));
    assert_eq!(plan.stages[0].min_duration, Duration::from_secs(3));
    assert_eq!(plan.report_interval, Duration::from_secs(1));
    assert_eq!(plan.thresholds.allowed[&Metric::Failed], 0.1);
    assert_eq!(plan.thresholds.allowed[&Metric::Rejected], Thresholds::default().allowed[&Metric::Rejected]);
}

/// The example says the defaults.
#[test]
fn the_example_is_good() {
    let plan = parse(include_str!("../../../../deploy/rollout.toml")).unwrap();
    assert_eq!(plan.thresholds, Thresholds { stages: 3, ..Thresholds::default() });
    let bare = parse("[change]\nsettings = 'x'\n[[stage]]\nshare = 1.0\n").unwrap();
    assert_eq!(
        (plan.inconclusive_policy, plan.inconclusive_after, plan.lost_contact_policy),
        (bare.inconclusive_policy, bare.inconclusive_after, bare.lost_contact_policy)
    );
    assert_eq!(
        (plan.lost_contact_after, plan.report_interval),
        (bare.lost_contact_after, bare.report_interval)
    );
    assert_eq!((plan.max_zone_share, plan.max_missing_share), (bare.max_zone_share, bare.max_missing_share));
}

#[test]
fn each_fault_has_its_line() {
    let shown = parse(
        "[change]\nsettings = 'a'\nprogram = 'b'\nwhen_short = 'go'\nzone_share = 0\ninterval_ms = 5\n[[stage]]\nnames = ['b 1']\nshare = 0.1\n\
         [[stage]]\nshare = 0.5\nwho = 'me'\n[[stage]]\nshare = 0.2\n[bounds]\nfailed = -1\nslower = 2\n",
    )
    .unwrap_err()
    .to_string();
    for part in [
        "line 3: change.program: either settings",
        "line 4: change.when_short: \"go\" is none of \"hold\", \"undo\"",
        "line 5: change.zone_share: it has to be 0.01 to 1",
        "line 6: change.interval_ms: it has to be 100 to 10,000 ms",
        "line 9: stage[1].share: it needs a share or names, one of them",
        "line 12: stage[2].who: no such key",
        "stage: each share has to be larger",
        "line 16: bounds.failed: it has to be 0 to 10",
        "line 17: bounds.slower: no such key",
    ] {
        assert!(shown.contains(part), "{part:?} is not in\n{shown}");
    }
    assert!(
        parse("[change]\n").unwrap_err().to_string().contains("it needs settings = FILE or program = PATH")
    );
}
