//! Decisions of the leader: collects reports, evaluates the stage and proposes the next document.
//!
//! Continues from the stage in the log, whichever balancer proposed it. One proposal is in flight at a time.

use crate::document::{Change, Content, Document, EVIDENCE_MOST, MAX_SETTINGS_BYTES, StageRecord, words};
use crate::evaluation::{MemberState, StageEvaluation};
use crate::messages::{MemberReport, OperatorRequest, Preview, Reply, RequestedContent};
use crate::staged_settings::parts;
use maplehook_canary::Side;
use maplehook_config::Proxy;
use maplehook_rollout::order::Member;
use maplehook_rollout::{Command, Rollout, RolloutState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Extra time, after the lost-contact timeout, within which all balancers must have rolled back.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Local state that a rollout plan is checked against.
pub struct PlanContext<'a> {
    /// Version in force; `None` if there is no version or a proposal is pending.
    pub in_force: Option<u64>,
    /// Rules of the version in force.
    pub rules: &'a Proxy,
    /// Parses a settings text as this balancer would apply it.
    pub read: &'a dyn Fn(&str) -> Result<Proxy, String>,
    /// Current Unix time in milliseconds.
    pub unix_ms: u64,
}

/// State of a leader.
pub struct LeaderState {
    /// Names of all possible balancers.
    names: Vec<String>,
    stands: Document,
    proposed: Option<Document>,
    heard: BTreeMap<String, MemberState>,
    judging: Option<StageEvaluation>,
    /// Time at which the next interval ends.
    next: Duration,
    /// Change that is rolling back, and the start of its rollback.
    undoing: Option<(u64, Duration)>,
}

impl LeaderState {
    /// Creates the state of a newly elected leader.
    pub fn new(names: Vec<String>, stands: Document, now: Duration) -> Self {
        let (heard, judging) = (BTreeMap::new(), None);
        Self { names, stands, proposed: None, heard, judging, next: now, undoing: None }
    }

    /// Returns the newest document in the log that this leader knows.
    pub fn committed(&self) -> &Document {
        &self.stands
    }

    /// Records a balancer's report.
    pub fn record_report(&mut self, now: Duration, from: &str, stands: MemberReport) {
        if self.names.iter().any(|name| name == from) {
            self.heard.entry(from.to_owned()).or_default().hear(now, stands);
        }
    }

    /// Returns the number of the active change and the evidence of its running stage.
    pub fn evidence(&self) -> Option<(u64, Vec<String>)> {
        let change = self.stands.change.as_ref().filter(|change| change.is_active())?;
        Some((change.rollout.number, self.judging.as_ref().map(StageEvaluation::lines).unwrap_or_default()))
    }

    /// Returns the next proposal if anything has changed and no proposal is in flight.
    pub fn tick(&mut self, now: Duration, in_force: Option<u64>, unix_ms: u64) -> Option<Vec<u8>> {
        if self.proposed.is_some() {
            return None;
        }
        let mut change = self.stands.change.clone().filter(Change::is_active)?;
        self.place(&mut change);
        self.foreign(&mut change, in_force);
        self.judge(now, &mut change);
        self.give_up(now, &mut change);
        self.release(now, &mut change);
        watch(&mut change, self.judging.as_ref(), unix_ms);
        if self.stands.change.as_ref() == Some(&change) {
            return None;
        }
        let document = Document { change: Some(change), ..self.stands.clone() };
        self.propose(document).ok()
    }

    /// Applies the reported sides to the rollout.
    fn place(&self, change: &mut Change) {
        let number = change.rollout.number;
        let undoes = change.rollout.rollback_step > 0;
        for (name, heard) in &self.heard {
            let Some((of, side, step)) = heard.stands else { continue };
            let known = change.rollout.sides.get(name);
            // The known step matters during a rollback only, so other step changes are not written to the
            // log.
            let news = known.is_none_or(|(before, had)| {
                *before != side || (undoes && *had < change.rollout.rollback_step)
            });
            if of == number && news {
                let stands = Command::ReportSide { name: name.clone(), side, known_step: step };
                play(change, &stands);
            }
        }
    }

    /// Rolls back a settings change when another version came into force, because its base no longer applies.
    fn foreign(&self, change: &mut Change, in_force: Option<u64>) {
        let Content::Settings { base_version: rests_on, .. } = change.content else { return };
        let undone = change.rollout.rollback_step > 0 || change.rollout.state == RolloutState::Completed;
        if let Some(version) = in_force.filter(|version| *version > rests_on && !undone) {
            let (step, why) =
                (change.rollout.step, format!("version {version} has come into force meanwhile"));
            play(change, &Command::RollBack { step, why });
        }
    }

    fn judge(&mut self, now: Duration, change: &mut Change) {
        let (number, Some(stage)) = (change.rollout.number, change.rollout.stage()) else {
            self.judging = None;
            return;
        };
        if !self.judging.as_ref().is_some_and(|judging| judging.is_of(number, stage)) {
            let usual = self.judging.as_ref().map(StageEvaluation::usual).unwrap_or_default();
            self.judging = Some(StageEvaluation::new(change, stage, &usual, now));
        }
        let Some(judging) = &mut self.judging else { return };
        if now < self.next {
            return;
        }
        self.next = (self.next + change.rollout.plan.report_interval).max(now);
        if let Some(judged) = judging.interval(now, change, &mut self.heard) {
            let last = change.baseline.is_none() && stage + 1 < change.rollout.order.stages();
            let before = judging.before().filter(|_| last && change.stage_includes_all_members(stage + 1));
            let step = change.rollout.step;
            if play(change, &Command::ApplyVerdict { step, stage, verdict: judged })
                && change.rollout.passed_stages > stage
            {
                change.baseline = before;
            }
        }
    }

    fn give_up(&mut self, now: Duration, change: &mut Change) {
        let number = change.rollout.number;
        if !matches!(change.rollout.state, RolloutState::RollingBack { .. }) {
            self.undoing = None;
            return;
        }
        let (of, since) = *self.undoing.get_or_insert((number, now));
        if of == number && now.saturating_sub(since) >= change.rollout.plan.lost_contact_after + GIVE_UP {
            let step = change.rollout.step;
            play(change, &Command::GiveUpRollback { step });
        }
    }

    /// Selects the balancers that may restart with the new program now.
    fn release(&self, now: Duration, change: &mut Change) {
        let (Content::Program { .. }, RolloutState::Running(stage)) =
            (&change.content, &change.rollout.state)
        else {
            return;
        };
        let is_new =
            |name: &String| change.rollout.sides.get(name).is_some_and(|(side, _)| *side == Side::New);
        let of_stage: BTreeSet<String> =
            change.rollout.order.stage(*stage).iter().map(|member| member.name.clone()).collect();
        let wanted = of_stage.difference(&change.released).cloned().collect();
        let silent = |name: &String| {
            self.heard.get(name).is_some_and(|heard| now.saturating_sub(heard.at) > Duration::from_secs(5))
        };
        let names = change.rollout.order.members().iter().map(|member| member.name.clone());
        let away =
            names.filter(|name| silent(name) || (change.released.contains(name) && !is_new(name))).collect();
        let goes = change.rollout.order.select_for_change(&change.rollout.plan, &wanted, &away);
        change.released.extend(goes);
    }

    fn propose(&mut self, document: Document) -> Result<Vec<u8>, String> {
        let bytes = document.encode()?;
        self.proposed = Some(document);
        Ok(bytes)
    }

    /// Handles the outcome of the proposal: true if it is in the log.
    pub fn finish_proposal(&mut self, stands: bool) {
        if let Some(proposed) = self.proposed.take().filter(|_| stands) {
            self.stands = proposed;
        }
    }

    /// Returns settings that passed all stages, with their base version. The text must become the next
    /// version.
    pub fn completed_settings(&self) -> Option<(&str, u64)> {
        let change = self.stands.change.as_ref().filter(|change| change.version.is_none())?;
        match &change.content {
            Content::Settings { text, base_version: rests_on }
                if change.rollout.state == RolloutState::Completed =>
            {
                Some((text, *rests_on))
            }
            _ => None,
        }
    }

    /// Records that the completed settings became a version, or rolls them back if they were rejected.
    pub fn settings_proposed(&mut self, version: Result<u64, String>) -> Option<Vec<u8>> {
        let mut document = self.stands.clone();
        let change = document.change.as_mut().filter(|_| self.proposed.is_none())?;
        match version {
            Ok(version) => {
                change.version = Some(version);
                change.rollout.irreversible_feature =
                    Some(format!("version {version}, which `maplehook settings undo` takes back"));
            }
            Err(why) => {
                let step = change.rollout.step;
                play(
                    change,
                    &Command::RollBack { step, why: format!("it can't be the next version: {why}") },
                );
            }
        }
        self.propose(document).ok()
    }

    /// Applies an operator's request; returns the proposal and the number of the change, or a final reply.
    pub fn handle_request(
        &mut self,
        by: &str,
        wish: &OperatorRequest,
        ground: &PlanContext<'_>,
    ) -> Result<(Vec<u8>, u64), Reply> {
        if self.proposed.is_some() {
            return Err(Reply::Unavailable("another step is on its way; ask again".into()));
        }
        let mut document = self.stands.clone();
        let number = match wish {
            OperatorRequest::Plan { plan, content: what } => {
                let (change, preview) = self.plan(by, plan, what, ground).map_err(Reply::Refused)?;
                drop(change);
                return Err(Reply::Planned(preview));
            }
            OperatorRequest::Start { plan, content: what } => {
                let (mut change, _) =
                    self.plan(by, plan, what, ground).map_err(|why| match self.same(plan, what) {
                        // The reply to the first request was lost.
                        Some(number) => Reply::Done(number),
                        None => Reply::Refused(why),
                    })?;
                play(&mut change, &Command::Proceed { step: 0 });
                watch(&mut change, None, ground.unix_ms);
                document.begin(change);
                document.number
            }
            OperatorRequest::Hold | OperatorRequest::Go | OperatorRequest::Undo => {
                let none = || Reply::Refused("there was no change yet".into());
                let change = document.change.as_mut().ok_or_else(none)?;
                let (step, number) = (change.rollout.step, change.rollout.number);
                let command = match wish {
                    OperatorRequest::Hold
                        if matches!(change.rollout.state, RolloutState::Paused { by_operator: true, .. }) =>
                    {
                        return Err(Reply::Done(number));
                    }
                    OperatorRequest::Go if matches!(change.rollout.state, RolloutState::Running(_)) => {
                        return Err(Reply::Done(number));
                    }
                    OperatorRequest::Hold => Command::Pause { step },
                    OperatorRequest::Go => Command::Proceed { step },
                    _ => Command::RollBack { step, why: format!("by an operator at {by}") },
                };
                change.rollout.apply(&command).map_err(|why| Reply::Refused(why.to_string()))?;
                if document == self.stands {
                    return Err(Reply::Done(number));
                }
                number
            }
        };
        let bytes = self.propose(document).map_err(Reply::Refused)?;
        Ok((bytes, number))
    }

    /// Returns the number of the active change if it has the given plan and content.
    fn same(&self, plan: &str, what: &RequestedContent) -> Option<u64> {
        let change = self.stands.change.as_ref().filter(|change| change.is_active())?;
        let plan = maplehook_rollout::plan::parse(plan).ok()?;
        let content = match (what, &change.content) {
            (RequestedContent::Settings { text }, Content::Settings { text: of, .. }) => text == of,
            (RequestedContent::Program { path, digest }, Content::Program { path: at, digest: of }) => {
                path == at && digest == of
            }
            _ => false,
        };
        (content && plan == change.rollout.plan).then_some(change.rollout.number)
    }

    fn plan(
        &self,
        by: &str,
        plan: &str,
        what: &RequestedContent,
        ground: &PlanContext<'_>,
    ) -> Result<(Change, Preview), String> {
        if let Some(change) = self.stands.change.as_ref().filter(|change| change.is_active()) {
            return Err(format!("change {} is {}", change.rollout.number, words(&change.rollout.state)));
        }
        let plan = maplehook_rollout::plan::parse(plan).map_err(|faults| faults.to_string())?;
        let mut preview = Preview::default();
        let content = match what {
            RequestedContent::Settings { text } => {
                if text.len() > MAX_SETTINGS_BYTES {
                    return Err(format!("the settings are longer than {MAX_SETTINGS_BYTES} bytes"));
                }
                let rests_on = ground.in_force.filter(|version| *version > 0);
                let rests_on =
                    rests_on.ok_or("no version is in force everywhere: maplehook settings status")?;
                let parts = parts(ground.rules, &(ground.read)(text)?)?;
                (preview.staged, preview.kept_back) = (parts.staged, parts.kept_back);
                Content::Settings { text: text.clone(), base_version: rests_on }
            }
            RequestedContent::Program { path, digest } => {
                let hex = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !hex || path.len() > 4096 {
                    return Err("a program has a path and the SHA-256 of its bytes in hexadecimal".into());
                }
                preview.staged.push(format!("the program, with all that it does: {path}"));
                Content::Program { path: path.clone(), digest: digest.to_ascii_lowercase() }
            }
        };
        let zone = |name: &String| self.heard.get(name).map_or(String::new(), |heard| heard.zone.clone());
        let members: Vec<Member> =
            self.names.iter().map(|name| Member { name: name.clone(), zone: zone(name) }).collect();
        let rollout = Rollout::new(self.stands.number + 1, plan, &members).map_err(|e| e.to_string())?;
        let change = Change {
            rollout,
            content,
            by: by.to_owned(),
            started_at_ms: ground.unix_ms,
            stage_records: Vec::new(),
            baseline: None,
            released: BTreeSet::new(),
            version: None,
        };
        if change.stage_includes_all_members(0) {
            return Err("the first stage is everybody: nobody is left to compare with".into());
        }
        let mut told = 0;
        for stage in 0..change.rollout.order.stages() {
            let members = change.rollout.order.stage(stage);
            preview.stages.push(members[told..].iter().map(|member| member.name.clone()).collect());
            told = members.len();
        }
        Ok((change, preview))
    }
}

/// Applies a command; returns true if the rollout accepted it.
fn play(change: &mut Change, command: &Command) -> bool {
    let played = change.rollout.apply(command);
    if let Err(why) = &played {
        tracing::debug!("{command:?}: {why}");
    }
    played.is_ok()
}

/// Records the starts and ends of stages.
fn watch(change: &mut Change, judging: Option<&StageEvaluation>, unix_ms: u64) {
    let running = change.rollout.stage();
    let verdict = words(&change.rollout.state);
    if let Some(last) =
        change.stage_records.last_mut().filter(|last| last.until_ms.is_none() && running != Some(last.stage))
    {
        last.until_ms = Some(unix_ms);
        last.verdict = if change.rollout.passed_stages > last.stage { "not worse".into() } else { verdict };
        last.evidence = judging.map(StageEvaluation::lines).unwrap_or_default();
        last.evidence.truncate(EVIDENCE_MOST);
    }
    if let Some(stage) =
        running.filter(|stage| change.stage_records.last().is_none_or(|last| last.stage < *stage))
    {
        let (evidence, verdict) = (Vec::new(), String::new());
        change.stage_records.push(StageRecord {
            stage,
            since_ms: unix_ms,
            until_ms: None,
            evidence,
            verdict,
        });
    }
}
