//! By what a balancer acts, and how it stands there.

use maplehook_config::Proxy;
use maplehook_versions::grants::CutOff;
use maplehook_versions::steps::Step;
use maplehook_versions::strict::careful;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// By what to act.
#[derive(Clone, Debug)]
pub struct Acting {
    /// The epoch.
    pub epoch: u64,
    /// The version in force, or the two between which a change stands: `3`, `3-4`; `0` before the first.
    pub label: String,
    /// The rules, as long as the lease lasts.
    pub rules: Arc<Proxy>,
    /// Until when; `None`: for good.
    pub until: Option<Instant>,
    /// The rules after that; `None`: everything is refused.
    pub careful: Option<Arc<Proxy>>,
    /// There is no lease at all.
    pub cut_off: bool,
}

/// Which of the rules are acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Those of the step.
    Rules,
    /// The careful reading of them.
    Careful,
    /// None: everything is refused.
    Refuses,
}

impl Acting {
    /// What is acted on now.
    pub fn mode(&self, now: Instant) -> Mode {
        let holds = !self.cut_off && self.until.is_none_or(|until| now < until);
        match &self.careful {
            _ if holds => Mode::Rules,
            Some(_) => Mode::Careful,
            None => Mode::Refuses,
        }
    }

    /// The rules of a mode.
    pub fn of(&self, mode: Mode) -> &Arc<Proxy> {
        self.careful.as_ref().filter(|_| mode == Mode::Careful).unwrap_or(&self.rules)
    }

    /// How a mode is told to others.
    pub fn told(&self, mode: Mode) -> String {
        match mode {
            Mode::Rules => self.label.clone(),
            _ => format!("{};careful", self.label),
        }
    }
}

/// How it stands here.
#[derive(Clone, Debug)]
pub struct Local {
    /// The version in force here; 0 if none.
    pub in_force: u64,
    /// The epoch that is acted on.
    pub epoch: u64,
    /// The step.
    pub step: Step,
    /// The digest of the version in force, or of the own file before the first.
    pub digest: String,
    /// What is left of the lease.
    pub lease_left: Option<Duration>,
    /// Whether there is none.
    pub careful: bool,
    /// Whom it takes for the leader.
    pub leader: Option<String>,
    /// What is wrong with its part in votes, if anything is.
    pub voter: Option<String>,
}

/// Before anything was heard.
pub(crate) fn first(own: &Arc<Proxy>, cut_off: CutOff) -> Acting {
    let careful = (cut_off != CutOff::Refuse).then(|| Arc::new(careful(own)));
    Acting { epoch: 0, label: "0".into(), rules: Arc::clone(own), until: None, careful, cut_off: true }
}
