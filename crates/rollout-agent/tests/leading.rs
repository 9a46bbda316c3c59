//! Tests the leader with simulated members: agreed documents across changes of leader.

use maplehook_canary::{IntervalReport, Side};
use maplehook_config::Proxy;
use maplehook_rollout::RolloutState;
use maplehook_rollout_agent::document::Document;
use maplehook_rollout_agent::leader::{LeaderState, PlanContext};
use maplehook_rollout_agent::member::member_target;
use maplehook_rollout_agent::messages::{MemberReport, OperatorRequest, Reply, RequestedContent};
use std::time::Duration;

const PLAN: &str = "[change]\nsettings = 'x'\ninterval_ms = 500\nshort_s = 60\n[[stage]]\nnames = ['b0']\nleast_s = 8\nleast_requests = 100\n\
    [[stage]]\nshare = 0.5\nleast_s = 8\nleast_requests = 100\n[[stage]]\nshare = 1.0\nleast_s = 8\nleast_requests = 100\n\
    [bounds]\nfailed = 0.1\nrefused = 0.1\nlate = 0.1\nslow = 0.5\ncpu = 1.0\nmemory = 1.0\ndescriptors = 1.0\n";

fn settings(deadline: u64) -> String {
    format!(
        "[[class]]\nname = 'look'\npath = '/l'\ndeadline_ms = {deadline}\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n"
    )
}

fn read(text: &str) -> Result<Proxy, String> {
    let file_text = format!("[listen]\naddress = '127.0.0.1:0'\n{text}");
    maplehook_config::parse(&file_text)
        .map_err(|e| e.to_string())?
        .proxy
        .ok_or_else(|| "no proxy settings".into())
}

fn names() -> Vec<String> {
    (0..4).map(|n| format!("b{n}")).collect()
}

/// Four balancers, their leader and the document in the log.
struct Simulation {
    now: Duration,
    leader_state: LeaderState,
    log: Document,
    in_force: u64,
    /// Names of unreachable balancers.
    unreachable: Vec<String>,
    /// Names of balancers that stay on the old side whatever their target is.
    pinned_to_old: Vec<String>,
}

impl Simulation {
    fn new() -> Self {
        let leader_state = LeaderState::new(names(), Document::default(), Duration::ZERO);
        let mut simulation = Self {
            now: Duration::ZERO,
            leader_state,
            log: Document::default(),
            in_force: 1,
            unreachable: Vec::new(),
            pinned_to_old: Vec::new(),
        };
        simulation.advance(1.0, &|_, _| {});
        simulation
    }

    fn request(&mut self, request: &OperatorRequest) -> Result<u64, Reply> {
        let rules = read(&settings(2000)).unwrap();
        let context = PlanContext { in_force: Some(self.in_force), rules: &rules, read: &read, unix_ms: 5 };
        let (body, number) = self.leader_state.handle_request("b1", request, &context)?;
        self.commit(body);
        Ok(number)
    }

    fn start(&mut self) -> Result<u64, Reply> {
        self.request(&OperatorRequest::Start {
            plan: PLAN.into(),
            content: RequestedContent::Settings { text: settings(500) },
        })
    }

    fn commit(&mut self, body: Vec<u8>) {
        self.log = Document::decode(&body).unwrap();
        self.leader_state.finish_proposal(true);
    }

    fn state(&self) -> RolloutState {
        self.log.change.as_ref().unwrap().rollout.state.clone()
    }

    /// Advances the given number of seconds; `modify_report` changes each report by its side.
    fn advance(&mut self, seconds: f64, modify_report: &dyn Fn(Side, &mut IntervalReport)) {
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            self.now += Duration::from_millis(500);
            let all = names();
            for name in all.iter().filter(|name| !self.unreachable.contains(name)) {
                let target = member_target(&self.log, name, Duration::ZERO);
                let applied = |side: Side| if self.pinned_to_old.contains(name) { Side::Old } else { side };
                let side = target.as_ref().map(|target| (target.number, applied(target.side), target.step));
                let mut report = IntervalReport::new(0, "a");
                (report.cpu_us, report.memory_kb, report.descriptors) = (10_000, 9000, 60);
                for k in 0..50 {
                    report.counts_mut("look", "").record_served(1000 + 100 * k, false);
                }
                modify_report(side.map_or(Side::Old, |(_, side, _)| side), &mut report);
                let member_report = MemberReport { zone: "a".into(), side, report: Some(report) };
                self.leader_state.record_report(self.now, name, member_report);
            }
            if let Some(body) = self.leader_state.tick(self.now, Some(self.in_force), 7) {
                self.commit(body);
            }
        }
    }
}

fn healthy(_: Side, _: &mut IntervalReport) {}

fn fail_half_on_new_side(side: Side, report: &mut IntervalReport) {
    if side == Side::New {
        let counts = report.counts_mut("look", "");
        (counts.served, counts.failed) = (counts.served / 2, counts.served / 2);
    }
}

#[test]
fn a_good_change_passes_all_stages_and_becomes_the_next_version() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.start().unwrap(), 1);
    simulation.advance(6.0, &healthy);
    assert_eq!(simulation.state(), RolloutState::Running(0), "a stage runs for its minimum duration");
    simulation.advance(6.0, &healthy);
    assert!(matches!(simulation.state(), RolloutState::Running(n) if n > 0), "{:?}", simulation.state());
    simulation.advance(60.0, &healthy);
    assert_eq!(simulation.state(), RolloutState::Completed);
    let change = simulation.log.change.as_ref().unwrap();
    assert!(change.is_active() && change.stage_records.len() == 3, "{:?}", change.stage_records);
    assert!(
        change.stage_records[2].evidence.iter().any(|line| line.starts_with("failed: new")),
        "{:?}",
        change.stage_records
    );
    assert_eq!(simulation.leader_state.completed_settings(), Some((&settings(500)[..], 1)));
    let body = simulation.leader_state.settings_proposed(Ok(2)).unwrap();
    simulation.commit(body);
    assert!(!simulation.log.change.as_ref().unwrap().is_active());
    assert!(
        matches!(simulation.request(&OperatorRequest::Undo), Err(Reply::Refused(why)) if why.contains("settings undo"))
    );
}

#[test]
fn a_regression_rolls_back_in_the_first_stage() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    simulation.advance(6.0, &fail_half_on_new_side);
    assert!(matches!(simulation.state(), RolloutState::RolledBack { why } if why.contains("failed")));
    let change = simulation.log.change.as_ref().unwrap();
    assert_eq!((change.rollout.furthest_stage, change.stage_records.len()), (Some(0), 1));
    assert!(change.stage_records[0].verdict.contains("failed"), "{:?}", change.stage_records);
    // The next change may begin, and the rolled-back change is in the history.
    assert_eq!(simulation.start().unwrap(), 2);
    assert!(simulation.log.history()[0].outcome.contains("undone"));
}

#[test]
fn a_new_leader_continues_at_the_same_stage() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    for _ in 0..80 {
        simulation.advance(0.5, &healthy);
        if matches!(simulation.state(), RolloutState::Running(1)) {
            break;
        }
    }
    assert_eq!(simulation.state(), RolloutState::Running(1));
    simulation.leader_state = LeaderState::new(names(), simulation.log.clone(), simulation.now);
    simulation.advance(5.0, &healthy);
    assert_eq!(
        simulation.state(),
        RolloutState::Running(1),
        "evidence of the previous leader does not count"
    );
    simulation.advance(60.0, &healthy);
    assert_eq!(simulation.state(), RolloutState::Completed);
}

#[test]
fn a_leader_elected_in_the_last_stage_compares_with_the_stored_baseline() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    for _ in 0..200 {
        simulation.advance(0.5, &healthy);
        if matches!(simulation.state(), RolloutState::Running(2)) {
            break;
        }
    }
    assert_eq!(simulation.state(), RolloutState::Running(2));
    simulation.leader_state = LeaderState::new(names(), simulation.log.clone(), simulation.now);
    simulation.advance(6.0, &fail_half_on_new_side);
    assert!(
        matches!(simulation.state(), RolloutState::RolledBack { why } if why.contains("failed")),
        "{:?}",
        simulation.state()
    );
}

#[test]
fn a_second_change_is_rejected_but_a_repeated_request_succeeds() {
    let mut simulation = Simulation::new();
    let number = simulation.start().unwrap();
    assert_eq!(simulation.start(), Err(Reply::Done(number)));
    let second_change = OperatorRequest::Start {
        plan: PLAN.into(),
        content: RequestedContent::Settings { text: settings(700) },
    };
    assert!(
        matches!(simulation.request(&second_change), Err(Reply::Refused(why)) if why.contains("change 1 is running"))
    );
    let plan = OperatorRequest::Plan {
        plan: PLAN.into(),
        content: RequestedContent::Settings { text: settings(700) },
    };
    assert!(matches!(simulation.request(&plan), Err(Reply::Refused(_))));
    assert_eq!(simulation.request(&OperatorRequest::Hold).unwrap(), number);
    assert_eq!(simulation.request(&OperatorRequest::Hold), Err(Reply::Done(number)));
    simulation.advance(30.0, &healthy);
    assert!(matches!(simulation.state(), RolloutState::Paused { by_operator: true, .. }));
    assert_eq!(simulation.request(&OperatorRequest::Go).unwrap(), number);
    assert_eq!(simulation.request(&OperatorRequest::Undo).unwrap(), number);
    assert_eq!(
        simulation.request(&OperatorRequest::Undo),
        Err(Reply::Done(number)),
        "a repeated rollback request succeeds"
    );
    simulation.advance(2.0, &healthy);
    assert!(matches!(simulation.state(), RolloutState::RolledBack { .. }));
}

#[test]
fn a_plan_request_returns_a_preview_and_starts_nothing() {
    let mut simulation = Simulation::new();
    let plan_request = |text: &str| OperatorRequest::Plan {
        plan: PLAN.into(),
        content: RequestedContent::Settings { text: text.into() },
    };
    let Err(Reply::Planned(preview)) = simulation.request(&plan_request(&settings(500))) else {
        panic!("expected a preview")
    };
    assert_eq!((preview.stages.len(), &preview.stages[0][..]), (3, &["b0".to_owned()][..]));
    assert_eq!(preview.staged, ["class look: deadline 2000 to 500 ms", "class look: aim 666 to 166 ms"]);
    assert_eq!(simulation.log, Document::default());
    let stricter_effect = settings(2000).replace("deadline_ms", "effect = 'at_most_once'\ndeadline_ms");
    for (text, reason) in [(&settings(2000), "nothing changes"), (&stricter_effect, "settings propose")] {
        assert!(
            matches!(simulation.request(&plan_request(text)), Err(Reply::Refused(reply)) if reply.contains(reason))
        );
    }
    let single_stage = OperatorRequest::Plan {
        plan: "[change]\nsettings = 'x'\n[[stage]]\nshare = 1.0\n".into(),
        content: RequestedContent::Settings { text: settings(500) },
    };
    assert!(
        matches!(simulation.request(&single_stage), Err(Reply::Refused(why)) if why.contains("nobody is left to compare with"))
    );
}

/// Silence must count against a changed balancer, but not against one that was unreachable before it changed.
#[test]
fn silence_counts_against_the_new_side_only() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    simulation.advance(4.0, &healthy);
    simulation.unreachable.push("b0".into());
    simulation.advance(8.0, &healthy);
    assert!(
        matches!(simulation.state(), RolloutState::RollingBack { why } if why.contains("b0 has told nothing")),
        "{:?}",
        simulation.state()
    );
    simulation.advance(100.0, &healthy);
    assert!(matches!(simulation.state(), RolloutState::RollbackFailed { members, .. } if members == ["b0"]));
    simulation.unreachable.clear();
    simulation.advance(2.0, &healthy);
    assert!(matches!(simulation.state(), RolloutState::RolledBack { .. }));
}

#[test]
fn another_version_rolls_the_change_back() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    simulation.in_force = 2;
    simulation.advance(2.0, &healthy);
    assert!(matches!(simulation.state(), RolloutState::RolledBack { why } if why.contains("version 2")));
}

/// The number of balancers of a zone that restart together is limited, but all must restart in the end.
#[test]
fn a_program_change_restarts_one_balancer_per_zone_at_a_time() {
    let mut simulation = Simulation::new();
    let plan = PLAN.replace("settings", "program").replace("share = 0.5", "names = ['b1', 'b2']");
    let what = RequestedContent::Program { path: "/p".into(), digest: "a".repeat(64) };
    simulation.request(&OperatorRequest::Start { plan, content: what }).unwrap();
    let mut max_restarting = 0;
    for _ in 0..200 {
        let change = simulation.log.change.clone().unwrap();
        let is_new =
            |name: &&String| change.rollout.sides.get(*name).is_some_and(|(side, _)| *side == Side::New);
        let restarting = change.released.iter().filter(|name| !is_new(name)).count();
        max_restarting = max_restarting.max(restarting);
        simulation.advance(0.5, &healthy);
    }
    assert_eq!((simulation.state(), max_restarting), (RolloutState::Completed, 1));
}

/// A balancer that was unreachable when this leader was elected, and is on the old side, must not block a
/// stage that it does not belong to.
#[test]
fn an_unreachable_balancer_outside_the_stage_does_not_block_it() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    simulation.advance(2.0, &healthy);
    let change = simulation.log.change.clone().unwrap();
    let unreachable = change.rollout.order.members()[3].name.clone();
    assert!(change.rollout.sides.contains_key(&unreachable));
    simulation.unreachable.push(unreachable);
    simulation.leader_state = LeaderState::new(names(), simulation.log.clone(), simulation.now);
    simulation.advance(40.0, &healthy);
    assert_eq!(simulation.state(), RolloutState::Running(2));
}

/// A stage must not pass while one of its members cannot apply the change, and the operator must see that
/// member's name.
#[test]
fn a_stage_with_an_unchanged_member_waits_for_an_operator() {
    let mut simulation = Simulation::new();
    simulation.start().unwrap();
    let pinned = simulation.log.change.as_ref().unwrap().rollout.order.members()[1].name.clone();
    simulation.pinned_to_old.push(pinned.clone());
    simulation.advance(60.0, &healthy);
    assert_eq!(simulation.state(), RolloutState::Running(1));
    simulation.advance(60.0, &healthy);
    let RolloutState::Paused { why, by_operator: true, .. } = simulation.state() else {
        panic!("{:?}", simulation.state())
    };
    assert_eq!(why, format!("not changed yet: {pinned}"));
}
