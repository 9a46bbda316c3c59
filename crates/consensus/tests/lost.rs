//! Whoever is lost keeps nobody from proposing for longer than its lease lasts.

mod fleet;

use fleet::{FILE, Fleet, shared, until};
use maplehook_consensus::EnforcementMode;
use maplehook_consensus::messages::{AdminReply, AdminRequest};
use maplehook_versions::LeaseExpiryPolicy;
use std::time::{Duration, Instant};

fn label(fleet: &Fleet, n: usize) -> String {
    fleet.parts[n].as_ref().unwrap().active_version.borrow().label.clone()
}

fn everywhere(fleet: &Fleet, label: &str) -> bool {
    fleet.alive().all(|part| part.active_version.borrow().label == label)
}

#[test]
fn a_proposal_that_is_passed_on_goes_on_without_one_that_is_killed() {
    // A lease that lasts longer than any other wish may take.
    goes_on(3000, 3, true, false);
}

#[test]
fn a_proposal_goes_on_without_one_that_is_cut_off() {
    goes_on(1000, 3, false, true);
}

#[test]
fn a_proposal_goes_on_without_a_voter_that_is_killed() {
    goes_on(1000, 1, true, true);
}

#[test]
fn a_proposal_that_is_passed_on_goes_on_without_a_voter_that_is_cut_off() {
    goes_on(1000, 2, false, false);
}

fn goes_on(contradiction_ms: u64, lost: usize, kills: bool, at_leader: bool) {
    let mut fleet = Fleet::new(4, contradiction_ms, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    // Never the leader itself: that is another matter.
    let lost = if lost == leader { 0 } else { lost };
    // Its lease is as fresh as can be.
    std::thread::sleep(Duration::from_millis(300));
    if kills {
        fleet.kill(lost)
    } else {
        fleet.cut(lost)
    }
    let at = if at_leader { leader } else { (0..4).find(|n| *n != leader && *n != lost).unwrap() };
    let begun = Instant::now();
    let reply = fleet.propose(at, "next");
    let took = begun.elapsed();
    assert_eq!(reply, AdminReply::Done(2), "lost {lost}, asked {at}, after {took:?}");
    assert!(took < fleet.times.max_lease() + Duration::from_millis(300), "{took:?}");
    if kills {
        fleet.start(lost, FILE);
    } else {
        let cut = fleet.parts[lost].as_ref().unwrap().active_version.borrow().clone();
        assert_eq!(
            cut.mode(Instant::now()),
            EnforcementMode::Conservative,
            "its lease ended before the step began"
        );
        fleet.heal();
    }
    until("it is told when it returns", || everywhere(&fleet, "2"));
}

/// The leader is killed: the next one goes on as soon as the longest lease since its election is over.
#[test]
fn a_proposal_goes_on_after_the_leaders_death() {
    goes_on_without_the_leader(true);
}

#[test]
fn a_proposal_goes_on_after_the_leader_is_cut_off() {
    goes_on_without_the_leader(false);
}

fn goes_on_without_the_leader(kills: bool) {
    let mut fleet = Fleet::new(4, 3000, LeaseExpiryPolicy::Reject);
    let first = fleet.leader();
    if kills {
        fleet.kill(first)
    } else {
        fleet.cut(first)
    }
    let mut next = None;
    until("another one leads", || {
        next = (0..4).find(|n| *n != first && fleet.standing(*n).is_leader);
        next.is_some()
    });
    let begun = Instant::now();
    assert_eq!(fleet.propose(next.unwrap(), "next"), AdminReply::Done(2));
    assert!(begun.elapsed() < fleet.times.max_lease() + Duration::from_millis(400));
    if !kills {
        let before = fleet.parts[first].as_ref().unwrap().active_version.borrow().clone();
        assert_eq!(before.mode(Instant::now()), EnforcementMode::RejectAll, "its lease had ended");
    }
    let all = || (0..4).filter(|n| *n != first).all(|n| label(&fleet, n) == "2");
    until("all that are left have it", all);
}

/// Whoever is there and refuses is heard, also while another one is lost.
#[test]
fn a_refusal_stays_one() {
    let mut fleet = Fleet::new(4, 1000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    let others: Vec<usize> = (0..4).filter(|n| *n != leader).collect();
    // Its own file has [clients] known and no reserve for it, say: here, the first tenant has another name.
    let text = shared("next") + "[[tenant]]\nname = \"other\"\n";
    fleet.kill(others[0]);
    let begun = Instant::now();
    let reply = fleet.wish(leader, AdminRequest::Propose { text, expected: None }).1;
    assert!(matches!(&reply, AdminReply::Rejected(why) if why.contains("tenant")), "{reply:?}");
    assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
}

/// One comes back that can't act on what was agreed without it: it stays careful, is named, and holds nobody up.
#[test]
fn whoever_returns_and_cannot_act_on_it_stays_careful_and_is_named() {
    let mut fleet = Fleet::new(4, 1000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    let away = 3;
    fleet.kill(away);
    assert_eq!(fleet.propose(leader, "next"), AdminReply::Done(2));
    until("without it", || everywhere(&fleet, "2"));
    // Beside [eureka] the upstreams of its file stay; those that were agreed on are others.
    let file = FILE.replace("address = \"127.0.0.1:9\"", "address = \"127.0.0.1:10\"")
        + "[eureka]\nservers = [\"127.0.0.1:9\"]\napp = \"DESKS\"\n";
    fleet.start(away, &file);
    until("it says what is wrong", || fleet.wish(away, AdminRequest::Status).0.voter_problem.is_some());
    let acting = fleet.parts[away].as_ref().unwrap().active_version.borrow().clone();
    assert_eq!(acting.mode(Instant::now()), EnforcementMode::Conservative);
    until("the leader names it", || {
        fleet
            .wish(leader, AdminRequest::Status)
            .0
            .voter_problem
            .is_some_and(|why| why.starts_with("b4 can't act on it"))
    });
    until("nobody waits for it", || {
        let reply = fleet.wish(leader, AdminRequest::Status).1;
        matches!(reply, AdminReply::Status(stands) if stands.members.iter().all(|member| !member.is_pending))
    });
    // It is there and refuses what it can't act on either.
    let reply = fleet.propose(leader, "third");
    assert!(matches!(&reply, AdminReply::Rejected(why) if why.starts_with("b4: ")), "{reply:?}");
    // What is under way is not held up by it.
    fleet.cut(away);
    assert_eq!(fleet.propose(leader, "third"), AdminReply::Done(3));
    fleet.heal();
    until("the others go on", || (0..3).all(|n| label(&fleet, n) == "3"));
}
