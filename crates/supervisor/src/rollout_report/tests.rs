//! Tests of what a balancer reports of its rollout.

use super::*;

#[test]
fn what_a_balancer_says_of_its_roll_out_is_read_as_it_is_agreed() {
    let digest = "c".repeat(64);
    let of = |side: &str, program: &str| {
        let text =
            format!("{{\"number\":3,\"step\":7,\"side\":\"{side}\",\"program\":{program},\"word\":\"on\"}}");
        parse_rollout_status(200, text.as_bytes())
    };
    let program = format!("{{\"path\":\"/x\",\"digest\":\"{digest}\"}}");
    let told = |new| RolloutTarget {
        number: 3,
        program: ProgramDigest::new(&digest).unwrap(),
        is_target: new,
        is_in_progress: true,
    };
    assert_eq!(of("new", &program), Some(RolloutStatus::Target(told(true))));
    assert_eq!(of("old", &program), Some(RolloutStatus::Target(told(false))));
    let over = format!("{program},\"runs\":false");
    assert_eq!(
        of("new", &over),
        Some(RolloutStatus::Target(RolloutTarget { is_in_progress: false, ..told(true) }))
    );
    assert_eq!(of("old", "null"), Some(RolloutStatus::NoRollout));
    assert_eq!(of("new", "null"), Some(RolloutStatus::NoRollout));
    assert_eq!(of("newer", &program), None);
    assert_eq!(of("new", "{\"path\":\"/x\",\"digest\":\"../../bin/sh\"}"), None);
    assert_eq!(parse_rollout_status(404, b""), Some(RolloutStatus::NoRollout));
    assert_eq!(parse_rollout_status(503, b"{}"), None);
}
