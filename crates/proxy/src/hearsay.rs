//! What other balancers say of upstreams, laid over what the own discovery says: a source round a source.
//!
//! What it comes to, `maplehook_cluster::merge_policy` decides. Here it is taken to and fro: the own list goes to the tier as claims,
//! the words of others come back as news of entries that are treated with more care than the own list asks for.

use maplehook::source::{EndpointUpdate, Entry, Reachability, Source, Task};
use maplehook_cluster::endpoint_gossip::EndpointClaim;
use maplehook_cluster::merge_policy::{LocalEndpoint, MergePolicy, MergedEndpoint};
use maplehook_core::{Availability, UpdateScope, UpstreamId};
use maplehook_transport::{ClusterNode, GossipSnapshot, unix_ms};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// For how long a start is told to others.
const STARTED: u64 = 20_000;
/// How often it is seen whether the own source has been read, and which starts are still new.
const LOOK: Duration = Duration::from_millis(500);

/// A source with the words of others laid over it.
pub struct Hearsay {
    inner: Rc<dyn Source>,
    care: RefCell<MergePolicy>,
    entries: RefCell<BTreeMap<UpstreamId, Entry>>,
    claims: watch::Sender<Arc<Vec<EndpointClaim>>>,
    told: RefCell<watch::Receiver<GossipSnapshot>>,
    idle: Cell<usize>,
}

impl Hearsay {
    /// Over this source, which knew this list before it was read. Drains by hearsay take at most this share of it.
    pub fn new(inner: Rc<dyn Source>, known: &EndpointUpdate, member: &ClusterNode, share: f64) -> Rc<Self> {
        Self::between(inner, known, member.claims.clone(), member.gossip.clone(), share)
    }

    fn between(
        inner: Rc<dyn Source>,
        known: &EndpointUpdate,
        claims: watch::Sender<Arc<Vec<EndpointClaim>>>,
        told: watch::Receiver<GossipSnapshot>,
        share: f64,
    ) -> Rc<Self> {
        let hearsay = Self {
            inner,
            care: RefCell::new(MergePolicy::new(share)),
            entries: RefCell::default(),
            claims,
            told: RefCell::new(told),
            idle: Cell::new(0),
        };
        hearsay.own(known.clone());
        Rc::new(hearsay)
    }

    /// The own source has said something; returns it with the words of others laid over it.
    fn own(&self, news: EndpointUpdate) -> EndpointUpdate {
        if news.scope == UpdateScope::Failed {
            return news;
        }
        let whole = matches!(news.scope, UpdateScope::Full | UpdateScope::Cached);
        {
            let entries = &mut *self.entries.borrow_mut();
            if whole {
                entries.clear();
            }
            for entry in &news.entries {
                match entry.state.availability {
                    Availability::Removed => entries.remove(&entry.id),
                    _ => entries.insert(entry.id, entry.clone()),
                };
            }
        }
        let own = news.entries.iter().map(|entry| {
            let ready = match entry.state.availability {
                Availability::Ready => Some(true),
                Availability::Draining => Some(false),
                Availability::Removed => None,
            };
            (entry.id.0, ready.map(|ready| LocalEndpoint { is_ready: ready, boot_ms: entry.state.boot_ms }))
        });
        self.care.borrow_mut().update_local(whole, own);
        self.take_words();
        self.publish();
        let changes = self.care.borrow_mut().take_changes();
        let mut told: Vec<Entry> = news.entries.iter().map(|entry| self.seen(entry)).collect();
        if !whole {
            let named: Vec<UpstreamId> = news.entries.iter().map(|entry| entry.id).collect();
            told.extend(self.changed(&changes).into_iter().filter(|entry| !named.contains(&entry.id)));
        }
        EndpointUpdate { scope: news.scope, entries: told }
    }

    /// An entry of the own list, as it is to be treated.
    fn seen(&self, entry: &Entry) -> Entry {
        let mut entry = entry.clone();
        if let Some(MergedEndpoint { is_draining, boot_ms }) = self.care.borrow().published(entry.id.0) {
            if is_draining && entry.state.availability == Availability::Ready {
                entry.state.availability = Availability::Draining;
            }
            entry.state.boot_ms = boot_ms;
        }
        entry
    }

    fn changed(&self, changes: &[(u64, Option<MergedEndpoint>)]) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let of =
            |(id, view): &(u64, Option<MergedEndpoint>)| view.and_then(|_| entries.get(&UpstreamId(*id)));
        changes.iter().filter_map(of).map(|entry| self.seen(entry)).collect()
    }

    fn take_words(&self) {
        let told = self.told.borrow_mut().borrow_and_update().clone();
        let mut care = self.care.borrow_mut();
        care.merge_gossip(&told.endpoints, unix_ms());
        let confirmed = self.inner.confirmed().and_then(|at| at.checked_duration_since(told.epoch));
        if let Some(confirmed) = confirmed {
            care.confirm_local(confirmed);
        }
        let counts = care.gossip_drain_counts();
        let (held, idle) = (counts.known, counts.suppressed);
        if self.idle.replace(idle) != idle && idle > 0 {
            tracing::warn!(
                held,
                idle,
                "others tell more drains than tier.drains_most lets act; the first ones told act"
            );
        }
    }

    /// Tells the tier what the own list says.
    fn publish(&self) {
        let since = unix_ms().saturating_sub(STARTED);
        let claim = |entry: &Entry| {
            let boot_ms = entry.state.boot_ms;
            let drained = entry.state.availability == Availability::Draining;
            (drained || boot_ms > since).then_some(EndpointClaim {
                upstream: entry.id.0,
                boot_ms,
                is_draining: drained,
            })
        };
        let claims: Vec<EndpointClaim> = self.entries.borrow().values().filter_map(claim).collect();
        self.claims.send_if_modified(|before| {
            let changed = **before != claims;
            if changed {
                *before = Arc::new(claims);
            }
            changed
        });
    }

    /// Follows the words of others, for good.
    async fn listen(&self, tell: &RefCell<&mut dyn FnMut(EndpointUpdate)>) {
        let mut told = self.told.borrow().clone();
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut silent = false;
        loop {
            tokio::select! {
                changed = told.changed(), if !silent => silent = changed.is_err(),
                _ = look.tick() => self.publish(),
            }
            self.take_words();
            let changes = self.care.borrow_mut().take_changes();
            let entries = self.changed(&changes);
            if !entries.is_empty() {
                (tell.borrow_mut())(EndpointUpdate { scope: UpdateScope::Changes, entries });
            }
        }
    }
}

impl Source for Hearsay {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async { self.own(self.inner.fetch().await) })
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async move {
            let tell = RefCell::new(tell);
            let mut own = |news| {
                let news = self.own(news);
                (tell.borrow_mut())(news);
            };
            tokio::select! {
                () = self.inner.watch(&mut own) => {}
                () = self.listen(&tell) => {}
            }
        })
    }

    fn record_reachability(&self, upstream: UpstreamId, heard: Reachability) {
        self.inner.record_reachability(upstream, heard);
    }

    fn confirmed(&self) -> Option<Instant> {
        self.inner.confirmed()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook::source::EndpointState;
    use maplehook_cluster::endpoint_gossip::GossipedEndpoint;
    use maplehook_core::{CellId, KindId, ZoneId};

    /// A source that says what it is told to.
    #[derive(Default)]
    struct Says {
        news: RefCell<Vec<EndpointUpdate>>,
        confirmed: Cell<Option<Instant>>,
    }

    impl Source for Says {
        fn fetch(&self) -> Task<'_, EndpointUpdate> {
            Box::pin(std::future::ready(EndpointUpdate::failed()))
        }

        fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
            Box::pin(async move {
                loop {
                    let news = std::mem::take(&mut *self.news.borrow_mut());
                    news.into_iter().for_each(&mut *tell);
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            })
        }

        fn confirmed(&self) -> Option<Instant> {
            self.confirmed.get()
        }
    }

    fn entry(id: u64, availability: Availability, boot_ms: u64) -> Entry {
        let state = EndpointState { endpoint: Some(([127, 0, 0, 1], 9).into()), availability, boot_ms };
        Entry { id: UpstreamId(id), zone: ZoneId(0), kind: KindId(0), cell: CellId(0), weight: 1.0, state }
    }

    fn drained(upstream: u64, until: Duration) -> GossipedEndpoint {
        GossipedEndpoint { upstream, drained_until: Some((until, 0)), boot_ms: 0 }
    }

    /// What others say becomes news, what the own source says becomes claims, and neither lifts the other's drain.
    #[tokio::test(start_paused = true)]
    async fn words_become_news_and_news_become_claims() {
        let epoch = Instant::now();
        let told = |effects: Vec<GossipedEndpoint>| GossipSnapshot { epoch, endpoints: Arc::new(effects) };
        let (words, heard) = watch::channel(told(Vec::new()));
        let (claims, claimed) = watch::channel(Arc::default());
        let says = Rc::new(Says::default());
        let ready = |id| entry(id, Availability::Ready, 5);
        let known = EndpointUpdate {
            scope: UpdateScope::Cached,
            entries: vec![ready(1), ready(2), ready(3), ready(4)],
        };
        let source = Hearsay::between(says.clone(), &known, claims, heard, 0.5);
        assert!(claimed.borrow().is_empty(), "nothing drains, and nothing has started lately");
        let seen: RefCell<Vec<EndpointUpdate>> = RefCell::default();
        let mut tell = |news| seen.borrow_mut().push(news);
        let play = async {
            let pause = || tokio::time::sleep(Duration::from_secs(2));
            let last = |id: u64| {
                let seen = seen.borrow();
                let mut of = seen.iter().flat_map(|n| &n.entries).filter(|e| e.id.0 == id);
                of.next_back().map(|e| (e.state.availability, e.state.boot_ms))
            };
            // Another one says that 1 drains and that 2 has started.
            let started = GossipedEndpoint { upstream: 2, drained_until: None, boot_ms: 9 };
            words.send_replace(told(vec![drained(1, Duration::from_secs(3600)), started]));
            pause().await;
            assert_eq!(last(1), Some((Availability::Draining, 5)));
            assert_eq!(last(2), Some((Availability::Ready, 9)), "cold from then on");
            assert_eq!(last(3), None, "what has not changed is not told again");
            // The own source goes on calling it ready: it drains all the same.
            says.news
                .borrow_mut()
                .push(EndpointUpdate { scope: UpdateScope::Full, entries: known.entries.clone() });
            pause().await;
            assert_eq!(last(1), Some((Availability::Draining, 5)));
            assert!(claimed.borrow().is_empty(), "hearsay is not passed on as if one knew it");
            // It says itself that 3 drains: others are told.
            let own = entry(3, Availability::Draining, 5);
            says.news.borrow_mut().push(EndpointUpdate { scope: UpdateScope::Changes, entries: vec![own] });
            pause().await;
            assert_eq!(
                claimed.borrow().iter().map(|c| (c.upstream, c.is_draining)).collect::<Vec<_>>(),
                [(3, true)]
            );
            // No word is good any more, and the own source was read since.
            words.send_replace(told(vec![drained(1, Duration::ZERO)]));
            pause().await;
            assert_eq!(last(1), Some((Availability::Draining, 5)), "it was not read since");
        };
        tokio::select! {
            () = source.watch(&mut tell) => unreachable!(),
            () = play => {}
        }
        // A drain whose words are over, with a source that was read since: a fresh look at the same state.
        let (words, heard) = watch::channel(told(vec![drained(1, Duration::from_nanos(1))]));
        let (claims, _claimed) = watch::channel(Arc::default());
        let source = Hearsay::between(says.clone(), &known, claims, heard, 0.5);
        words.send_replace(told(Vec::new()));
        says.confirmed.set(Some(Instant::now() + Duration::from_millis(1)));
        let news = source.own(known.clone());
        assert!(news.entries.iter().all(|e| e.state.availability == Availability::Ready));
    }
}
