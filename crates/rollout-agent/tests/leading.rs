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

fn text(deadline: u64) -> String {
    format!(
        "[[class]]\nname = 'look'\npath = '/l'\ndeadline_ms = {deadline}\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n"
    )
}

fn read(text: &str) -> Result<Proxy, String> {
    let whole = format!("[listen]\naddress = '127.0.0.1:0'\n{text}");
    maplehook_config::parse(&whole).map_err(|e| e.to_string())?.proxy.ok_or_else(|| "nothing".into())
}

fn names() -> Vec<String> {
    (0..4).map(|n| format!("b{n}")).collect()
}

/// Four balancers, their leader and the document in the log.
struct World {
    now: Duration,
    leading: LeaderState,
    log: Document,
    in_force: u64,
    /// Names of unreachable balancers.
    away: Vec<String>,
    /// Names of balancers that stay on the old side whatever their target is.
    stays: Vec<String>,
}

impl World {
    fn new() -> Self {
        let leading = LeaderState::new(names(), Document::default(), Duration::ZERO);
        let mut world = Self {
            now: Duration::ZERO,
            leading,
            log: Document::default(),
            in_force: 1,
            away: Vec::new(),
            stays: Vec::new(),
        };
        world.play(1.0, &|_, _| {});
        world
    }

    fn wish(&mut self, wish: &OperatorRequest) -> Result<u64, Reply> {
        let rules = read(&text(2000)).unwrap();
        let ground = PlanContext { in_force: Some(self.in_force), rules: &rules, read: &read, unix_ms: 5 };
        let (body, number) = self.leading.handle_request("b1", wish, &ground)?;
        self.put(body);
        Ok(number)
    }

    fn start(&mut self) -> Result<u64, Reply> {
        self.wish(&OperatorRequest::Start {
            plan: PLAN.into(),
            content: RequestedContent::Settings { text: text(500) },
        })
    }

    fn put(&mut self, body: Vec<u8>) {
        self.log = Document::decode(&body).unwrap();
        self.leading.finish_proposal(true);
    }

    fn state(&self) -> RolloutState {
        self.log.change.as_ref().unwrap().rollout.state.clone()
    }

    /// Advances the given number of seconds; `does` modifies each member's report according to its side.
    fn play(&mut self, seconds: f64, does: &dyn Fn(Side, &mut IntervalReport)) {
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            self.now += Duration::from_millis(500);
            let all = names();
            for name in all.iter().filter(|name| !self.away.contains(name)) {
                let wanted = member_target(&self.log, name, Duration::ZERO);
                let is = |side: Side| if self.stays.contains(name) { Side::Old } else { side };
                let side = wanted.as_ref().map(|wanted| (wanted.number, is(wanted.side), wanted.step));
                let mut report = IntervalReport::new(0, "a");
                (report.cpu_us, report.memory_kb, report.descriptors) = (10_000, 9000, 60);
                for k in 0..50 {
                    report.counts_mut("look", "").record_served(1000 + 100 * k, false);
                }
                does(side.map_or(Side::Old, |(_, side, _)| side), &mut report);
                let stands = MemberReport { zone: "a".into(), side, report: Some(report) };
                self.leading.record_report(self.now, name, stands);
            }
            if let Some(body) = self.leading.tick(self.now, Some(self.in_force), 7) {
                self.put(body);
            }
        }
    }
}

fn good(_: Side, _: &mut IntervalReport) {}

fn bad(side: Side, report: &mut IntervalReport) {
    if side == Side::New {
        let cell = report.counts_mut("look", "");
        (cell.served, cell.failed) = (cell.served / 2, cell.served / 2);
    }
}

#[test]
fn a_good_change_goes_through_all_stages_and_is_to_be_the_next_version() {
    let mut world = World::new();
    assert_eq!(world.start().unwrap(), 1);
    world.play(6.0, &good);
    assert_eq!(world.state(), RolloutState::Running(0), "each stage has its least time");
    world.play(6.0, &good);
    assert!(matches!(world.state(), RolloutState::Running(n) if n > 0), "{:?}", world.state());
    world.play(60.0, &good);
    assert_eq!(world.state(), RolloutState::Completed);
    let change = world.log.change.as_ref().unwrap();
    assert!(change.is_active() && change.stage_records.len() == 3, "{:?}", change.stage_records);
    assert!(
        change.stage_records[2].evidence.iter().any(|line| line.starts_with("failed: new")),
        "{:?}",
        change.stage_records
    );
    assert_eq!(world.leading.completed_settings(), Some((&text(500)[..], 1)));
    let body = world.leading.settings_proposed(Ok(2)).unwrap();
    world.put(body);
    assert!(!world.log.change.as_ref().unwrap().is_active());
    assert!(
        matches!(world.wish(&OperatorRequest::Undo), Err(Reply::Refused(why)) if why.contains("settings undo"))
    );
}

#[test]
fn a_bad_one_stops_at_the_first_stage_and_others_never_have_it() {
    let mut world = World::new();
    world.start().unwrap();
    world.play(6.0, &bad);
    assert!(matches!(world.state(), RolloutState::RolledBack { why } if why.contains("failed")));
    let change = world.log.change.as_ref().unwrap();
    assert_eq!((change.rollout.furthest_stage, change.stage_records.len()), (Some(0), 1));
    assert!(change.stage_records[0].verdict.contains("failed"), "{:?}", change.stage_records);
    // The next change may begin, and the rolled-back change is in the history.
    assert_eq!(world.start().unwrap(), 2);
    assert!(world.log.history()[0].outcome.contains("undone"));
}

#[test]
fn the_next_leader_goes_on_from_the_same_stage() {
    let mut world = World::new();
    world.start().unwrap();
    for _ in 0..80 {
        world.play(0.5, &good);
        if matches!(world.state(), RolloutState::Running(1)) {
            break;
        }
    }
    assert_eq!(world.state(), RolloutState::Running(1));
    world.leading = LeaderState::new(names(), world.log.clone(), world.now);
    world.play(5.0, &good);
    assert_eq!(world.state(), RolloutState::Running(1), "what another has seen of it does not count");
    world.play(60.0, &good);
    assert_eq!(world.state(), RolloutState::Completed);
}

#[test]
fn a_leader_that_begins_in_the_last_stage_knows_what_was_before() {
    let mut world = World::new();
    world.start().unwrap();
    for _ in 0..200 {
        world.play(0.5, &good);
        if matches!(world.state(), RolloutState::Running(2)) {
            break;
        }
    }
    assert_eq!(world.state(), RolloutState::Running(2));
    world.leading = LeaderState::new(names(), world.log.clone(), world.now);
    world.play(6.0, &bad);
    assert!(
        matches!(world.state(), RolloutState::RolledBack { why } if why.contains("failed")),
        "{:?}",
        world.state()
    );
}

#[test]
fn a_second_plan_is_refused_and_the_same_again_is_the_same() {
    let mut world = World::new();
    let number = world.start().unwrap();
    assert_eq!(world.start(), Err(Reply::Done(number)));
    let other =
        OperatorRequest::Start { plan: PLAN.into(), content: RequestedContent::Settings { text: text(700) } };
    assert!(matches!(world.wish(&other), Err(Reply::Refused(why)) if why.contains("change 1 is running")));
    let plan =
        OperatorRequest::Plan { plan: PLAN.into(), content: RequestedContent::Settings { text: text(700) } };
    assert!(matches!(world.wish(&plan), Err(Reply::Refused(_))));
    assert_eq!(world.wish(&OperatorRequest::Hold).unwrap(), number);
    assert_eq!(world.wish(&OperatorRequest::Hold), Err(Reply::Done(number)));
    world.play(30.0, &good);
    assert!(matches!(world.state(), RolloutState::Paused { by_operator: true, .. }));
    assert_eq!(world.wish(&OperatorRequest::Go).unwrap(), number);
    assert_eq!(world.wish(&OperatorRequest::Undo).unwrap(), number);
    assert_eq!(world.wish(&OperatorRequest::Undo), Err(Reply::Done(number)), "undone while it is undone");
    world.play(2.0, &good);
    assert!(matches!(world.state(), RolloutState::RolledBack { .. }));
}

#[test]
fn a_plan_is_said_before_anything_starts() {
    let mut world = World::new();
    let plan = |text: &str| OperatorRequest::Plan {
        plan: PLAN.into(),
        content: RequestedContent::Settings { text: text.into() },
    };
    let Err(Reply::Planned(preview)) = world.wish(&plan(&text(500))) else { panic!() };
    assert_eq!((preview.stages.len(), &preview.stages[0][..]), (3, &["b0".to_owned()][..]));
    assert_eq!(preview.staged, ["class look: deadline 2000 to 500 ms", "class look: aim 666 to 166 ms"]);
    assert_eq!(world.log, Document::default());
    let strict = text(2000).replace("deadline_ms", "effect = 'at_most_once'\ndeadline_ms");
    for (text, why) in [(&text(2000), "nothing changes"), (&strict, "settings propose")] {
        assert!(matches!(world.wish(&plan(text)), Err(Reply::Refused(said)) if said.contains(why)));
    }
    let alone = OperatorRequest::Plan {
        plan: "[change]\nsettings = 'x'\n[[stage]]\nshare = 1.0\n".into(),
        content: RequestedContent::Settings { text: text(500) },
    };
    assert!(
        matches!(world.wish(&alone), Err(Reply::Refused(why)) if why.contains("nobody is left to compare with"))
    );
}

/// Silence must count against a changed balancer, but not against one that was unreachable before it changed.
#[test]
fn silence_counts_against_the_changed_side_alone() {
    let mut world = World::new();
    world.start().unwrap();
    world.play(4.0, &good);
    world.away.push("b0".into());
    world.play(8.0, &good);
    assert!(
        matches!(world.state(), RolloutState::RollingBack { why } if why.contains("b0 has told nothing")),
        "{:?}",
        world.state()
    );
    world.play(100.0, &good);
    assert!(matches!(world.state(), RolloutState::RollbackFailed { members: who, .. } if who == ["b0"]));
    world.away.clear();
    world.play(2.0, &good);
    assert!(matches!(world.state(), RolloutState::RolledBack { .. }));
}

#[test]
fn another_version_ends_it() {
    let mut world = World::new();
    world.start().unwrap();
    world.in_force = 2;
    world.play(2.0, &good);
    assert!(matches!(world.state(), RolloutState::RolledBack { why } if why.contains("version 2")));
}

/// The number of balancers of a zone that restart together is limited, but all must restart in the end.
#[test]
fn a_program_goes_to_as_many_of_a_zone_as_may_be_away() {
    let mut world = World::new();
    let plan = PLAN.replace("settings", "program").replace("share = 0.5", "names = ['b1', 'b2']");
    let what = RequestedContent::Program { path: "/p".into(), digest: "a".repeat(64) };
    world.wish(&OperatorRequest::Start { plan, content: what }).unwrap();
    let mut most = 0;
    for _ in 0..200 {
        let change = world.log.change.clone().unwrap();
        let new =
            |name: &&String| change.rollout.sides.get(*name).is_some_and(|(side, _)| *side == Side::New);
        let away = change.released.iter().filter(|name| !new(name)).count();
        most = most.max(away);
        world.play(0.5, &good);
    }
    assert_eq!((world.state(), most), (RolloutState::Completed, 1));
}

/// A balancer that was unreachable when this leader was elected, and is on the old side, must not block a
/// stage that it does not belong to.
#[test]
fn whoever_was_out_of_reach_before_holds_nothing_up() {
    let mut world = World::new();
    world.start().unwrap();
    world.play(2.0, &good);
    let change = world.log.change.clone().unwrap();
    let last = change.rollout.order.members()[3].name.clone();
    assert!(change.rollout.sides.contains_key(&last));
    world.away.push(last);
    world.leading = LeaderState::new(names(), world.log.clone(), world.now);
    world.play(40.0, &good);
    assert_eq!(world.state(), RolloutState::Running(2));
}

/// A stage must not pass while one of its members cannot apply the change, and the operator must see that
/// member's name.
#[test]
fn a_stage_that_is_not_all_changed_waits_for_an_operator() {
    let mut world = World::new();
    world.start().unwrap();
    let stays = world.log.change.as_ref().unwrap().rollout.order.members()[1].name.clone();
    world.stays.push(stays.clone());
    world.play(60.0, &good);
    assert_eq!(world.state(), RolloutState::Running(1));
    world.play(60.0, &good);
    let RolloutState::Paused { why, by_operator: true, .. } = world.state() else {
        panic!("{:?}", world.state())
    };
    assert_eq!(why, format!("not changed yet: {stays}"));
}
