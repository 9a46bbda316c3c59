//! What a proposal waits for: that whoever holds a lease can act on it, and that all have left the step before.
//!
//! Whoever's lease has run out is not waited for: it acts by its careful reading until it is told, and goes on with that if it
//! can't act on what it is told.

use crate::messages::{AdminReply, AdminRequest, PeerMessage};
use crate::runner::{CHECK, Requester, Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_transport::unix_ms;
use maplehook_versions::version_state::{Command, Phase, digest};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Bytes of texts that pass between machines in a second, and that a small machine reads in one.
const TOLD_PER_S: f64 = 40e6;
const READ_PER_S: f64 = 2e6;

/// In which one answers that is there and has no lease, since it can't act on the step that it was told.
const PROMPT: Duration = Duration::from_millis(200);

/// A proposal that the members look at.
pub(crate) struct ProposalValidation {
    text: String,
    digest: String,
    expect: Option<u64>,
    wisher: Requester,
    /// Who was asked, and who has not answered.
    asked: BTreeSet<Name>,
    waits: BTreeSet<Name>,
    /// Before this even those without a lease may still be reading.
    least: Instant,
    until: Instant,
}

impl Runner {
    /// What it takes at the most to tell all members a wish's text, and them to read it.
    fn telling(&self, op: &AdminRequest) -> Duration {
        let AdminRequest::Propose { text, .. } = op else { return Duration::ZERO };
        let told = (text.len() * self.setup.members.len()) as f64 / TOLD_PER_S;
        Duration::from_secs_f64(told + text.len() as f64 / READ_PER_S)
    }

    /// How long a proposal is looked at, at the most.
    pub(crate) fn checking(&self, op: &AdminRequest) -> Duration {
        match op {
            AdminRequest::Propose { .. } => self.telling(op) + self.setup.lease_times.max_lease() + CHECK,
            _ => Duration::ZERO,
        }
    }

    /// A proposal is looked at by whoever holds a lease.
    pub(crate) fn check(&mut self, op: AdminRequest, wisher: Requester) {
        let now = Instant::now();
        let (least, until) = (now + self.telling(&op) + PROMPT, now + self.checking(&op));
        let AdminRequest::Propose { text, expected: expect } = op else { return };
        if let Err(e) = self.fits(&text) {
            return self.end(wisher, AdminReply::Rejected(format!("{}: {e}", self.setup.local_name)));
        }
        let VoterRole::Voting { voter, grants: Some(grants), .. } = &self.part else { return };
        let (steps, digest) = (voter.version_state(), digest(&text));
        let same = |number: u64| steps.version(number).is_some_and(|version| version.digest == digest);
        let busy = match steps.phase {
            Phase::Initial => false,
            Phase::Stable(number) => {
                // Those without an end are waited for until they are forgotten.
                let waits = grants.pending_members(self.now(), steps);
                !same(number) && waits.iter().any(|waits| waits.max_wait.is_none())
            }
            Phase::Transition { to, .. } => {
                !same(to) && !grants.pending_members(self.now(), steps).is_empty()
            }
        };
        if busy {
            let why = self.not_everywhere();
            return self.end(wisher, AdminReply::Unavailable(why));
        }
        // The same again while it is looked at: whoever asked first has given up, and nobody is told it twice.
        if let Some(check) = self.checks.values_mut().find(|c| c.digest == digest && c.expect == expect) {
            let before = std::mem::replace(&mut check.wisher, wisher);
            return self.end(before, AdminReply::Unavailable("it was asked for again".into()));
        }
        let ticket = fastrand::u64(..);
        let (asked, waits) = (BTreeSet::new(), BTreeSet::new());
        let check = ProposalValidation { text, digest, expect, wisher, asked, waits, least, until };
        self.checks.insert(ticket, check);
        self.look(ticket);
    }

    fn not_everywhere(&self) -> String {
        let names: Vec<String> = match &self.part {
            VoterRole::Voting { voter, grants: Some(grants), .. } => grants
                .pending_members(self.now(), voter.version_state())
                .iter()
                .map(|waits| waits.name.to_string())
                .collect(),
            _ => Vec::new(),
        };
        format!("the last step is not everywhere yet: {}", names.join(", "))
    }

    /// A member has said whether it can act on it.
    pub(crate) fn checked(&mut self, from: &Name, ticket: u64, fault: Option<String>) {
        let Some(check) = self.checks.get_mut(&ticket) else { return };
        if let Some(fault) = fault {
            if let Some(check) = self.checks.remove(&ticket) {
                self.end(check.wisher, AdminReply::Rejected(format!("{from}: {fault}")));
            }
            return;
        }
        check.waits.remove(from);
        self.look(ticket);
    }

    /// Time passes: leases run out.
    pub(crate) fn look_at_all(&mut self) {
        let tickets: Vec<u64> = self.checks.keys().copied().collect();
        tickets.into_iter().for_each(|ticket| self.look(ticket));
    }

    /// Goes on with a proposal for which nobody is waited any more.
    fn look(&mut self, ticket: u64) {
        let (now, at) = (self.now(), Instant::now());
        let own = &self.setup.local_name;
        let (VoterRole::Voting { voter, grants: Some(grants), .. }, Some(check)) =
            (&self.part, self.checks.get_mut(&ticket))
        else {
            return;
        };
        // Also those of whom nothing was known when it began.
        let fresh = self.setup.lease_times.lease;
        let heard = self.digests.iter().filter(|(name, (_, at))| *name != own && at.elapsed() < fresh);
        let more: BTreeSet<Name> =
            heard.map(|(name, _)| name).filter(|name| !check.asked.contains(*name)).cloned().collect();
        check.asked.extend(more.iter().cloned());
        check.waits.extend(more.iter().cloned());
        if at >= check.least {
            let holds =
                |name: &Name| grants.lease_end(name).is_none_or(|until| until > now) || more.contains(name);
            check.waits.retain(holds);
        }
        let steps = voter.version_state();
        let left = match steps.phase {
            Phase::Stable(number) if steps.version(number).is_some_and(|v| v.digest != check.digest) => {
                grants.pending_members(now, steps).is_empty()
            }
            _ => true,
        };
        let (done, over) = (check.waits.is_empty() && left, at >= check.until);
        if !more.is_empty() {
            let text = check.text.clone();
            self.tell_all(&more, &PeerMessage::ValidationRequest { ticket, text });
        }
        if !done && !over {
            return;
        }
        let epoch = steps.epoch;
        let why = (!left).then(|| self.not_everywhere());
        let Some(ProposalValidation { text, expect, wisher, waits, .. }) = self.checks.remove(&ticket) else {
            return;
        };
        if !done {
            // Whoever holds a lease and does not answer may be one that can't act on it.
            let names: Vec<String> = waits.iter().map(ToString::to_string).collect();
            let silent = || format!("{} did not say whether it can act on this", names.join(", "));
            let why = if waits.is_empty() { why.unwrap_or_default() } else { silent() };
            return self.end(wisher, AdminReply::Unavailable(why));
        }
        let by = match &wisher {
            Requester::There(name, _) => name.to_string(),
            _ => self.setup.local_name.to_string(),
        };
        self.put(
            Command::Propose {
                epoch,
                expected: expect,
                text,
                proposed_by: by,
                proposed_at_unix_ms: unix_ms(),
            },
            wisher,
        );
    }

    /// This voter leads no more, or only just.
    pub(crate) fn check_no_more(&mut self, why: &str) {
        for check in std::mem::take(&mut self.checks).into_values() {
            self.end(check.wisher, AdminReply::Unavailable(why.into()));
        }
    }
}
