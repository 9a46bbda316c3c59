//! A balancer's part in what is agreed on, as whoever serves sees it: a thread that is started, asked, and ends.

use crate::acting::{Acting, Local, first};
use crate::common::{Standing, Ways, ways};
use crate::run::{Ears, Runner, read};
use crate::shelf::Topic;
use crate::talk::{Op, Reply};
use maplehook_cluster::Name;
use maplehook_transport::PeerChannel;
use maplehook_versions::grants::{CutOff, Times};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot, watch};

/// Who agrees, and how.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This balancer.
    pub own: Name,
    /// The voters.
    pub voters: Vec<Name>,
    /// All that there may be, this one among them.
    pub members: BTreeSet<Name>,
    /// The times.
    pub times: Times,
    /// What one does that has lost touch.
    pub cut_off: CutOff,
    /// Where a voter keeps its log.
    pub directory: Option<PathBuf>,
    /// This balancer's file.
    pub file: String,
}

pub(crate) type Asked = (Op, oneshot::Sender<(Local, Reply)>);

/// A balancer's part, on a thread of its own; it ends when this is dropped.
pub struct Agreeing {
    /// By what to act.
    pub acting: watch::Receiver<Acting>,
    /// What the thread that serves acts on.
    pub applied: watch::Sender<u64>,
    /// How it stands with the common document's part of places.
    pub standing: watch::Receiver<Standing>,
    /// The number of that part that the thread that serves acts on.
    pub acts: watch::Sender<u64>,
    /// The ways of whoever makes that part; taken once. Where they are dropped this balancer has no part in the common document:
    /// it is told of none, and nobody waits for it.
    pub places: Option<Ways>,
    /// How it stands with the common document's part of changes in stages.
    pub rollout_standing: watch::Receiver<Standing>,
    /// The ways of whoever makes that part; taken once.
    pub rollout: Option<Ways>,
    asks: mpsc::Sender<Asked>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Tells operators, and takes their wishes.
#[derive(Clone)]
pub struct Wishes(mpsc::Sender<Asked>);

impl Wishes {
    /// `None` where the thread does not answer.
    pub async fn ask(&self, op: Op) -> Option<(Local, Reply)> {
        let (reply, ended) = oneshot::channel();
        self.0.try_send((op, reply)).ok()?;
        ended.await.ok()
    }
}

impl Agreeing {
    /// Begins to agree. The file is known to be good.
    pub fn start(setup: Setup, talk: PeerChannel) -> Result<Self, String> {
        let (_, here) = watch::channel(true);
        Self::start_when(setup, talk, here)
    }

    /// The same, once this balancer is `here`.
    pub fn start_when(
        setup: Setup,
        talk: PeerChannel,
        mut here: watch::Receiver<bool>,
    ) -> Result<Self, String> {
        let (shared, _) = maplehook_config::shared(&setup.file).map_err(|e| e.to_string())?;
        let own = read(&setup.file, &shared)?;
        let (acting_to, acting) = watch::channel(first(&own, setup.cut_off));
        let (applied, applies) = watch::channel(0);
        let (acts, acted) = watch::channel(0);
        let (places, standing, inner) = ways();
        let (rollout, rollout_standing, staged) = ways();
        let (asks, asked) = mpsc::channel(32);
        let (stop, mut stopped) = oneshot::channel();
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let thread = std::thread::Builder::new()
            .name("agreement".into())
            .stack_size(1024 * 1024)
            .spawn(move || {
                runtime.block_on(async {
                    // Until then another process may hold the directory.
                    tokio::select! {
                        here = here.wait_for(|here| *here) => if here.is_err() { return },
                        _ = &mut stopped => return,
                    }
                    let tells = [(Topic::Places, inner.tells), (Topic::Rollout, staged.tells)].into();
                    let runner = Runner::new(setup, shared, own, talk.outgoing, acting_to, tells);
                    let (places, rollout) = (inner.hears, staged.hears);
                    let ears =
                        Ears { heard: talk.incoming, applies, acts: acted, asked, places, rollout, stopped };
                    runner.run(ears).await;
                });
            })
            .map_err(|e| e.to_string())?;
        Ok(Self {
            acting,
            applied,
            standing,
            acts,
            places: Some(places),
            rollout_standing,
            rollout: Some(rollout),
            asks,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// By which operators ask.
    pub fn wishes(&self) -> Wishes {
        Wishes(self.asks.clone())
    }
}

impl Drop for Agreeing {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
