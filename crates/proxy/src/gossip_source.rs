//! Endpoint source that merges the tier's gossip into the list of another source.
//!
//! `maplehook_cluster::merge_policy` decides how the list and the gossip are merged. This module publishes
//! the local list to the tier as claims and reports gossip as endpoint updates. Gossip can only add drains
//! and later boot times.

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

/// Time for which a boot of an upstream is published to other balancers, in milliseconds since the boot.
const STARTUP_CLAIM_MS: u64 = 20_000;
/// Interval at which claims and gossip are refreshed. A refresh applies reads of the inner source and stops
/// publishing old boots.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Source whose endpoints are merged with gossip from other balancers.
pub struct GossipSource {
    inner: Rc<dyn Source>,
    policy: RefCell<MergePolicy>,
    entries: RefCell<BTreeMap<UpstreamId, Entry>>,
    claims: watch::Sender<Arc<Vec<EndpointClaim>>>,
    gossip: RefCell<watch::Receiver<GossipSnapshot>>,
    suppressed_drains: Cell<usize>,
}

impl GossipSource {
    /// Wraps `inner`, whose list before its first read is `known`. Gossip can drain at most `max_drain_share` of
    /// the endpoints.
    pub fn new(
        inner: Rc<dyn Source>,
        known: &EndpointUpdate,
        node: &ClusterNode,
        max_drain_share: f64,
    ) -> Rc<Self> {
        Self::with_channels(inner, known, node.claims.clone(), node.gossip.clone(), max_drain_share)
    }

    fn with_channels(
        inner: Rc<dyn Source>,
        known: &EndpointUpdate,
        claims: watch::Sender<Arc<Vec<EndpointClaim>>>,
        gossip: watch::Receiver<GossipSnapshot>,
        max_drain_share: f64,
    ) -> Rc<Self> {
        let source = Self {
            inner,
            policy: RefCell::new(MergePolicy::new(max_drain_share)),
            entries: RefCell::default(),
            claims,
            gossip: RefCell::new(gossip),
            suppressed_drains: Cell::new(0),
        };
        source.merge_update(known.clone());
        Rc::new(source)
    }

    /// Applies an update of the inner source and returns it with gossip merged in.
    fn merge_update(&self, update: EndpointUpdate) -> EndpointUpdate {
        if update.scope == UpdateScope::Failed {
            return update;
        }
        let is_complete = matches!(update.scope, UpdateScope::Full | UpdateScope::Cached);
        {
            let entries = &mut *self.entries.borrow_mut();
            if is_complete {
                entries.clear();
            }
            for entry in &update.entries {
                match entry.state.availability {
                    Availability::Removed => entries.remove(&entry.id),
                    _ => entries.insert(entry.id, entry.clone()),
                };
            }
        }
        let local = update.entries.iter().map(|entry| {
            let ready = match entry.state.availability {
                Availability::Ready => Some(true),
                Availability::Draining => Some(false),
                Availability::Removed => None,
            };
            (entry.id.0, ready.map(|ready| LocalEndpoint { is_ready: ready, boot_ms: entry.state.boot_ms }))
        });
        self.policy.borrow_mut().update_local(is_complete, local);
        self.merge_gossip();
        self.publish_claims();
        let changes = self.policy.borrow_mut().take_changes();
        let mut merged_entries: Vec<Entry> =
            update.entries.iter().map(|entry| self.merged_entry(entry)).collect();
        if !is_complete {
            let named: Vec<UpstreamId> = update.entries.iter().map(|entry| entry.id).collect();
            merged_entries.extend(
                self.changed_entries(&changes).into_iter().filter(|entry| !named.contains(&entry.id)),
            );
        }
        EndpointUpdate { scope: update.scope, entries: merged_entries }
    }

    /// Returns a copy of an inner source's entry with availability and boot time merged from gossip.
    fn merged_entry(&self, entry: &Entry) -> Entry {
        let mut entry = entry.clone();
        if let Some(MergedEndpoint { is_draining, boot_ms }) = self.policy.borrow().published(entry.id.0) {
            if is_draining && entry.state.availability == Availability::Ready {
                entry.state.availability = Availability::Draining;
            }
            entry.state.boot_ms = boot_ms;
        }
        entry
    }

    fn changed_entries(&self, changes: &[(u64, Option<MergedEndpoint>)]) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let find_entry =
            |(id, view): &(u64, Option<MergedEndpoint>)| view.and_then(|_| entries.get(&UpstreamId(*id)));
        changes.iter().filter_map(find_entry).map(|entry| self.merged_entry(entry)).collect()
    }

    fn merge_gossip(&self) {
        let gossip = self.gossip.borrow_mut().borrow_and_update().clone();
        let mut policy = self.policy.borrow_mut();
        policy.merge_gossip(&gossip.endpoints, unix_ms());
        let confirmed = self.inner.confirmed().and_then(|at| at.checked_duration_since(gossip.epoch));
        if let Some(confirmed) = confirmed {
            policy.confirm_local(confirmed);
        }
        let counts = policy.gossip_drain_counts();
        let (known, suppressed) = (counts.known, counts.suppressed);
        if self.suppressed_drains.replace(suppressed) != suppressed && suppressed > 0 {
            tracing::warn!(
                known,
                suppressed,
                "gossip drains more upstreams than tier.drains_most allows; only the earliest drains apply"
            );
        }
    }

    /// Publishes the drains and recent boots of the local list to the tier.
    fn publish_claims(&self) {
        let startup_after = unix_ms().saturating_sub(STARTUP_CLAIM_MS);
        let claim = |entry: &Entry| {
            let boot_ms = entry.state.boot_ms;
            let draining = entry.state.availability == Availability::Draining;
            (draining || boot_ms > startup_after).then_some(EndpointClaim {
                upstream: entry.id.0,
                boot_ms,
                is_draining: draining,
            })
        };
        let claims: Vec<EndpointClaim> = self.entries.borrow().values().filter_map(claim).collect();
        self.claims.send_if_modified(|current| {
            let changed = **current != claims;
            if changed {
                *current = Arc::new(claims);
            }
            changed
        });
    }

    /// Passes endpoint changes that result from gossip to `notify`. Never returns.
    async fn follow_gossip(&self, notify: &RefCell<&mut dyn FnMut(EndpointUpdate)>) {
        let mut gossip = self.gossip.borrow().clone();
        let mut publish_tick = interval(PUBLISH_INTERVAL);
        publish_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_gossip_closed = false;
        loop {
            tokio::select! {
                changed = gossip.changed(), if !is_gossip_closed => is_gossip_closed = changed.is_err(),
                _ = publish_tick.tick() => self.publish_claims(),
            }
            self.merge_gossip();
            let changes = self.policy.borrow_mut().take_changes();
            let entries = self.changed_entries(&changes);
            if !entries.is_empty() {
                (notify.borrow_mut())(EndpointUpdate { scope: UpdateScope::Changes, entries });
            }
        }
    }
}

impl Source for GossipSource {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async { self.merge_update(self.inner.fetch().await) })
    }

    fn watch<'a>(&'a self, notify: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async move {
            let notify = RefCell::new(notify);
            let mut forward = |update| {
                let update = self.merge_update(update);
                (notify.borrow_mut())(update);
            };
            tokio::select! {
                () = self.inner.watch(&mut forward) => {}
                () = self.follow_gossip(&notify) => {}
            }
        })
    }

    fn record_reachability(&self, upstream: UpstreamId, reachability: Reachability) {
        self.inner.record_reachability(upstream, reachability);
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

    /// Test source whose watch reports updates that the test has queued.
    #[derive(Default)]
    struct ScriptedSource {
        update: RefCell<Vec<EndpointUpdate>>,
        confirmed: Cell<Option<Instant>>,
    }

    impl Source for ScriptedSource {
        fn fetch(&self) -> Task<'_, EndpointUpdate> {
            Box::pin(std::future::ready(EndpointUpdate::failed()))
        }

        fn watch<'a>(&'a self, notify: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
            Box::pin(async move {
                loop {
                    let update = std::mem::take(&mut *self.update.borrow_mut());
                    update.into_iter().for_each(&mut *notify);
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

    fn drained_by_gossip(upstream: u64, until: Duration) -> GossipedEndpoint {
        GossipedEndpoint { upstream, drained_until: Some((until, 0)), boot_ms: 0 }
    }

    /// Guards the merge in both directions: gossip must change endpoints, local drains must become claims, and
    /// neither side may cancel the drain of the other.
    #[tokio::test(start_paused = true)]
    async fn gossip_updates_endpoints_and_local_drains_become_claims() {
        let epoch = Instant::now();
        let snapshot =
            |endpoints: Vec<GossipedEndpoint>| GossipSnapshot { epoch, endpoints: Arc::new(endpoints) };
        let (gossip_sender, gossip_receiver) = watch::channel(snapshot(Vec::new()));
        let (claims, published) = watch::channel(Arc::default());
        let scripted = Rc::new(ScriptedSource::default());
        let ready = |id| entry(id, Availability::Ready, 5);
        let known = EndpointUpdate {
            scope: UpdateScope::Cached,
            entries: vec![ready(1), ready(2), ready(3), ready(4)],
        };
        let source = GossipSource::with_channels(scripted.clone(), &known, claims, gossip_receiver, 0.5);
        assert!(published.borrow().is_empty(), "no upstream drains or has booted recently");
        let received: RefCell<Vec<EndpointUpdate>> = RefCell::default();
        let mut notify = |update| received.borrow_mut().push(update);
        let scenario = async {
            let pause = || tokio::time::sleep(Duration::from_secs(2));
            let last = |id: u64| {
                let received = received.borrow();
                let mut entries = received.iter().flat_map(|n| &n.entries).filter(|e| e.id.0 == id);
                entries.next_back().map(|e| (e.state.availability, e.state.boot_ms))
            };
            // Another balancer reports that upstream 1 drains and that upstream 2 has booted.
            let started = GossipedEndpoint { upstream: 2, drained_until: None, boot_ms: 9 };
            gossip_sender
                .send_replace(snapshot(vec![drained_by_gossip(1, Duration::from_secs(3600)), started]));
            pause().await;
            assert_eq!(last(1), Some((Availability::Draining, 5)));
            assert_eq!(
                last(2),
                Some((Availability::Ready, 9)),
                "slow start follows the boot time from gossip"
            );
            assert_eq!(last(3), None, "an unchanged upstream is not reported again");
            // The inner source still lists upstream 1 as ready, but the drain reported by gossip must remain.
            scripted
                .update
                .borrow_mut()
                .push(EndpointUpdate { scope: UpdateScope::Full, entries: known.entries.clone() });
            pause().await;
            assert_eq!(last(1), Some((Availability::Draining, 5)));
            assert!(
                published.borrow().is_empty(),
                "a drain known from gossip only is not published as a claim"
            );
            // The inner source reports upstream 3 as draining, which must be published.
            let draining = entry(3, Availability::Draining, 5);
            scripted
                .update
                .borrow_mut()
                .push(EndpointUpdate { scope: UpdateScope::Changes, entries: vec![draining] });
            pause().await;
            assert_eq!(
                published.borrow().iter().map(|c| (c.upstream, c.is_draining)).collect::<Vec<_>>(),
                [(3, true)]
            );
            // The gossiped drain expires, but the inner source has not been read since that drain.
            gossip_sender.send_replace(snapshot(vec![drained_by_gossip(1, Duration::ZERO)]));
            pause().await;
            assert_eq!(
                last(1),
                Some((Availability::Draining, 5)),
                "the drain remains until the inner source is read"
            );
        };
        tokio::select! {
            () = source.watch(&mut notify) => unreachable!(),
            () = scenario => {}
        }
        // The gossiped drain expires, and the inner source has been read since that drain.
        let (gossip_sender, gossip_receiver) =
            watch::channel(snapshot(vec![drained_by_gossip(1, Duration::from_nanos(1))]));
        let (claims, _published) = watch::channel(Arc::default());
        let source = GossipSource::with_channels(scripted.clone(), &known, claims, gossip_receiver, 0.5);
        gossip_sender.send_replace(snapshot(Vec::new()));
        scripted.confirmed.set(Some(Instant::now() + Duration::from_millis(1)));
        let update = source.merge_update(known.clone());
        assert!(update.entries.iter().all(|e| e.state.availability == Availability::Ready));
    }
}
