//! Decisions of the leader: collects reports, evaluates the stage and proposes the next document.
//!
//! Continues from the stage in the log, whichever balancer proposed it. One proposal is in flight at a time.

use crate::document::{
    Change, Content, Document, MAX_EVIDENCE_LINES, MAX_SETTINGS_BYTES, StageRecord, state_text,
};
use crate::evaluation::{MemberState, StageEvaluation};
use crate::messages::{MemberReport, OperatorRequest, Preview, Reply, RequestedContent};
use crate::staged_settings::stageable_parts;
use maplehook_canary::Side;
use maplehook_config::Proxy;
use maplehook_rollout::order::Member;
use maplehook_rollout::{Command, Rollout, RolloutState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Extra time, after the lost-contact timeout, within which all balancers must have rolled back.
const ROLLBACK_GRACE_PERIOD: Duration = Duration::from_secs(30);

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
    committed: Document,
    proposed: Option<Document>,
    members: BTreeMap<String, MemberState>,
    evaluation: Option<StageEvaluation>,
    /// Time at which the next interval ends.
    interval_end: Duration,
    /// Change that is rolling back, and the start of its rollback.
    rollback_at: Option<(u64, Duration)>,
}

impl LeaderState {
    /// Starts leading from the committed document, without reports or an evaluation.
    pub fn new(names: Vec<String>, committed: Document, now: Duration) -> Self {
        let (members, evaluation) = (BTreeMap::new(), None);
        Self { names, committed, proposed: None, members, evaluation, interval_end: now, rollback_at: None }
    }

    /// Returns the newest document in the log that this leader knows.
    pub fn committed(&self) -> &Document {
        &self.committed
    }

    /// Stores the report of a balancer; ignores unknown balancers.
    pub fn record_report(&mut self, now: Duration, from: &str, member_report: MemberReport) {
        if self.names.iter().any(|name| name == from) {
            self.members.entry(from.to_owned()).or_default().record(now, member_report);
        }
    }

    /// Returns the number of the active change and the evidence of its running stage.
    pub fn evidence(&self) -> Option<(u64, Vec<String>)> {
        let change = self.committed.change.as_ref().filter(|change| change.is_active())?;
        Some((
            change.rollout.number,
            self.evaluation.as_ref().map(StageEvaluation::evidence).unwrap_or_default(),
        ))
    }

    /// Returns the next proposal if anything has changed and no proposal is in flight.
    pub fn tick(&mut self, now: Duration, in_force: Option<u64>, unix_ms: u64) -> Option<Vec<u8>> {
        if self.proposed.is_some() {
            return None;
        }
        let mut change = self.committed.change.clone().filter(Change::is_active)?;
        self.apply_reported_sides(&mut change);
        self.roll_back_if_superseded(&mut change, in_force);
        self.evaluate_stage(now, &mut change);
        self.give_up_rollback(now, &mut change);
        self.release_members(now, &mut change);
        update_stage_records(&mut change, self.evaluation.as_ref(), unix_ms);
        if self.committed.change.as_ref() == Some(&change) {
            return None;
        }
        let document = Document { change: Some(change), ..self.committed.clone() };
        self.propose(document).ok()
    }

    /// Applies the reported sides to the rollout.
    fn apply_reported_sides(&self, change: &mut Change) {
        let number = change.rollout.number;
        let is_rolling_back = change.rollout.rollback_step > 0;
        for (name, state) in &self.members {
            let Some((number_of_report, side, step)) = state.reported else { continue };
            let known = change.rollout.sides.get(name);
            // Only a rollback needs the known step, so other step changes are not written to the log.
            let is_changed = known.is_none_or(|(known_side, known_step)| {
                *known_side != side || (is_rolling_back && *known_step < change.rollout.rollback_step)
            });
            if number_of_report == number && is_changed {
                let command = Command::ReportSide { name: name.clone(), side, known_step: step };
                apply_command(change, &command);
            }
        }
    }

    /// Rolls back a settings change when another version came into force, because its base no longer applies.
    fn roll_back_if_superseded(&self, change: &mut Change, in_force: Option<u64>) {
        let Content::Settings { base_version, .. } = change.content else { return };
        let is_decided = change.rollout.rollback_step > 0 || change.rollout.state == RolloutState::Completed;
        if let Some(version) = in_force.filter(|version| *version > base_version && !is_decided) {
            let (step, why) =
                (change.rollout.step, format!("version {version} has come into force meanwhile"));
            apply_command(change, &Command::RollBack { step, why });
        }
    }

    fn evaluate_stage(&mut self, now: Duration, change: &mut Change) {
        let (number, Some(stage)) = (change.rollout.number, change.rollout.stage()) else {
            self.evaluation = None;
            return;
        };
        if !self.evaluation.as_ref().is_some_and(|evaluation| evaluation.is_for_stage(number, stage)) {
            let usual_bad_fractions =
                self.evaluation.as_ref().map(StageEvaluation::usual_bad_fractions).unwrap_or_default();
            self.evaluation = Some(StageEvaluation::new(change, stage, &usual_bad_fractions, now));
        }
        let Some(evaluation) = &mut self.evaluation else { return };
        if now < self.interval_end {
            return;
        }
        self.interval_end = (self.interval_end + change.rollout.plan.report_interval).max(now);
        if let Some(verdict) = evaluation.evaluate_interval(now, change, &mut self.members) {
            let is_next_to_last = change.baseline.is_none() && stage + 1 < change.rollout.order.stages();
            let baseline =
                evaluation.baseline().filter(|_| is_next_to_last && change.stage_has_all_members(stage + 1));
            let step = change.rollout.step;
            if apply_command(change, &Command::ApplyVerdict { step, stage, verdict })
                && change.rollout.passed_stages > stage
            {
                change.baseline = baseline;
            }
        }
    }

    fn give_up_rollback(&mut self, now: Duration, change: &mut Change) {
        let number = change.rollout.number;
        if !matches!(change.rollout.state, RolloutState::RollingBack { .. }) {
            self.rollback_at = None;
            return;
        }
        let (rollback_number, since) = *self.rollback_at.get_or_insert((number, now));
        if rollback_number == number
            && now.saturating_sub(since) >= change.rollout.plan.lost_contact_after + ROLLBACK_GRACE_PERIOD
        {
            let step = change.rollout.step;
            apply_command(change, &Command::GiveUpRollback { step });
        }
    }

    /// Selects the balancers that may restart with the new program now.
    fn release_members(&self, now: Duration, change: &mut Change) {
        let (Content::Program { .. }, RolloutState::Running(stage)) =
            (&change.content, &change.rollout.state)
        else {
            return;
        };
        let is_new =
            |name: &String| change.rollout.sides.get(name).is_some_and(|(side, _)| *side == Side::New);
        let stage_members: BTreeSet<String> =
            change.rollout.order.stage(*stage).iter().map(|member| member.name.clone()).collect();
        let candidates = stage_members.difference(&change.released).cloned().collect();
        let is_silent = |name: &String| {
            self.members
                .get(name)
                .is_some_and(|state| now.saturating_sub(state.last_report_at) > Duration::from_secs(5))
        };
        let names = change.rollout.order.members().iter().map(|member| member.name.clone());
        let unavailable = names
            .filter(|name| is_silent(name) || (change.released.contains(name) && !is_new(name)))
            .collect();
        let chosen = change.rollout.order.select_for_change(&change.rollout.plan, &candidates, &unavailable);
        change.released.extend(chosen);
    }

    fn propose(&mut self, document: Document) -> Result<Vec<u8>, String> {
        let bytes = document.encode()?;
        self.proposed = Some(document);
        Ok(bytes)
    }

    /// Handles the outcome of the proposal; `committed` is true if the proposal is in the log.
    pub fn finish_proposal(&mut self, committed: bool) {
        if let Some(proposed) = self.proposed.take().filter(|_| committed) {
            self.committed = proposed;
        }
    }

    /// Returns settings that passed all stages and must become the next version, with their base version.
    pub fn completed_settings(&self) -> Option<(&str, u64)> {
        let change = self.committed.change.as_ref().filter(|change| change.version.is_none())?;
        match &change.content {
            Content::Settings { text, base_version } if change.rollout.state == RolloutState::Completed => {
                Some((text, *base_version))
            }
            _ => None,
        }
    }

    /// Records that the completed settings became a version, or rolls them back if they were rejected.
    pub fn settings_proposed(&mut self, version: Result<u64, String>) -> Option<Vec<u8>> {
        let mut document = self.committed.clone();
        let change = document.change.as_mut().filter(|_| self.proposed.is_none())?;
        match version {
            Ok(version) => {
                change.version = Some(version);
                change.rollout.irreversible_feature =
                    Some(format!("version {version}, which `maplehook settings undo` takes back"));
            }
            Err(reason) => {
                let step = change.rollout.step;
                apply_command(
                    change,
                    &Command::RollBack { step, why: format!("it can't be the next version: {reason}") },
                );
            }
        }
        self.propose(document).ok()
    }

    /// Applies an operator's request; returns the proposal and the number of the change, or a final reply.
    pub fn handle_request(
        &mut self,
        by: &str,
        request: &OperatorRequest,
        context: &PlanContext<'_>,
    ) -> Result<(Vec<u8>, u64), Reply> {
        if self.proposed.is_some() {
            return Err(Reply::Unavailable("another step is on its way; ask again".into()));
        }
        let mut document = self.committed.clone();
        let number = match request {
            OperatorRequest::Plan { plan, content } => {
                let (change, preview) =
                    self.plan_change(by, plan, content, context).map_err(Reply::Refused)?;
                drop(change);
                return Err(Reply::Planned(preview));
            }
            OperatorRequest::Start { plan, content } => {
                let (mut change, _) = self.plan_change(by, plan, content, context).map_err(|reason| {
                    match self.matching_change(plan, content) {
                        // The reply to the first request was lost.
                        Some(number) => Reply::Done(number),
                        None => Reply::Refused(reason),
                    }
                })?;
                apply_command(&mut change, &Command::Proceed { step: 0 });
                update_stage_records(&mut change, None, context.unix_ms);
                document.begin(change);
                document.number
            }
            OperatorRequest::Hold | OperatorRequest::Go | OperatorRequest::Undo => {
                let no_change = || Reply::Refused("there was no change yet".into());
                let change = document.change.as_mut().ok_or_else(no_change)?;
                let (step, number) = (change.rollout.step, change.rollout.number);
                let command = match request {
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
                change.rollout.apply(&command).map_err(|reason| Reply::Refused(reason.to_string()))?;
                if document == self.committed {
                    return Err(Reply::Done(number));
                }
                number
            }
        };
        let bytes = self.propose(document).map_err(Reply::Refused)?;
        Ok((bytes, number))
    }

    /// Returns the number of the active change if it has the given plan and content.
    fn matching_change(&self, plan: &str, content: &RequestedContent) -> Option<u64> {
        let change = self.committed.change.as_ref().filter(|change| change.is_active())?;
        let plan = maplehook_rollout::plan::parse(plan).ok()?;
        let is_same_content = match (content, &change.content) {
            (RequestedContent::Settings { text }, Content::Settings { text: current, .. }) => text == current,
            (
                RequestedContent::Program { path, digest },
                Content::Program { path: running_path, digest: running_digest },
            ) => path == running_path && digest == running_digest,
            _ => false,
        };
        (is_same_content && plan == change.rollout.plan).then_some(change.rollout.number)
    }

    fn plan_change(
        &self,
        by: &str,
        plan: &str,
        content: &RequestedContent,
        context: &PlanContext<'_>,
    ) -> Result<(Change, Preview), String> {
        if let Some(change) = self.committed.change.as_ref().filter(|change| change.is_active()) {
            return Err(format!("change {} is {}", change.rollout.number, state_text(&change.rollout.state)));
        }
        let plan = maplehook_rollout::plan::parse(plan).map_err(|faults| faults.to_string())?;
        let mut preview = Preview::default();
        let content = match content {
            RequestedContent::Settings { text } => {
                if text.len() > MAX_SETTINGS_BYTES {
                    return Err(format!("the settings are longer than {MAX_SETTINGS_BYTES} bytes"));
                }
                let base_version = context.in_force.filter(|version| *version > 0);
                let base_version =
                    base_version.ok_or("no version is in force everywhere: maplehook settings status")?;
                let parts = stageable_parts(context.rules, &(context.read)(text)?)?;
                (preview.staged, preview.kept_back) = (parts.staged, parts.kept_back);
                Content::Settings { text: text.clone(), base_version }
            }
            RequestedContent::Program { path, digest } => {
                let is_hex = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !is_hex || path.len() > 4096 {
                    return Err("a program has a path and the SHA-256 of its bytes in hexadecimal".into());
                }
                preview.staged.push(format!("the program, with all that it does: {path}"));
                Content::Program { path: path.clone(), digest: digest.to_ascii_lowercase() }
            }
        };
        let zone = |name: &String| self.members.get(name).map_or(String::new(), |state| state.zone.clone());
        let members: Vec<Member> =
            self.names.iter().map(|name| Member { name: name.clone(), zone: zone(name) }).collect();
        let rollout = Rollout::new(self.committed.number + 1, plan, &members).map_err(|e| e.to_string())?;
        let change = Change {
            rollout,
            content,
            by: by.to_owned(),
            started_at_ms: context.unix_ms,
            stage_records: Vec::new(),
            baseline: None,
            released: BTreeSet::new(),
            version: None,
        };
        if change.stage_has_all_members(0) {
            return Err("the first stage is everybody: nobody is left to compare with".into());
        }
        let mut listed_count = 0;
        for stage in 0..change.rollout.order.stages() {
            let members = change.rollout.order.stage(stage);
            preview.stages.push(members[listed_count..].iter().map(|member| member.name.clone()).collect());
            listed_count = members.len();
        }
        Ok((change, preview))
    }
}

/// Applies a command; returns true if the rollout accepted it.
fn apply_command(change: &mut Change, command: &Command) -> bool {
    let result = change.rollout.apply(command);
    if let Err(reason) = &result {
        tracing::debug!("{command:?}: {reason}");
    }
    result.is_ok()
}

/// Records the starts and ends of stages.
fn update_stage_records(change: &mut Change, evaluation: Option<&StageEvaluation>, now_ms: u64) {
    let running = change.rollout.stage();
    let verdict = state_text(&change.rollout.state);
    if let Some(last) =
        change.stage_records.last_mut().filter(|last| last.until_ms.is_none() && running != Some(last.stage))
    {
        last.until_ms = Some(now_ms);
        last.verdict = if change.rollout.passed_stages > last.stage { "not worse".into() } else { verdict };
        last.evidence = evaluation.map(StageEvaluation::evidence).unwrap_or_default();
        last.evidence.truncate(MAX_EVIDENCE_LINES);
    }
    if let Some(stage) = running.filter(|n| change.stage_records.last().is_none_or(|last| last.stage < *n)) {
        let (evidence, verdict) = (Vec::new(), String::new());
        change.stage_records.push(StageRecord { stage, since_ms: now_ms, until_ms: None, evidence, verdict });
    }
}
