//! The adapter to the `foca` crate: its settings, its runtime, and its handler of broadcast announcements.

use crate::endpoint_gossip::{Announcement, AnnouncementStore};
use crate::identity::Identity;
use crate::name::Name;
use crate::settings::PROBE_PERIOD;
use crate::wire::Envelope;
use foca::{BroadcastHandler, Invalidates, Notification, Runtime, Timer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// How long a probed member may take to answer until other members are asked to probe it.
const PROBE_RTT: Duration = Duration::from_millis(200);
/// The time between two rounds of gossip.
pub(crate) const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two announces to a random member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// How many members are asked for an indirect probe, or are sent a round of gossip.
const FANOUT: usize = 3;
/// How often an update is passed on, for each power of ten of members, and within which bounds.
const TRANSMISSIONS_PER_DECADE: f64 = 6.0;
const MIN_TRANSMISSIONS: f64 = 6.0;
const MAX_TRANSMISSIONS: f64 = 100.0;

/// What identifies an announcement among those that are being passed on: a newer one replaces an older one.
#[derive(Clone, Copy)]
pub(crate) struct AnnouncementKey(Announcement);

impl Invalidates for AnnouncementKey {
    fn invalidates(&self, other: &Self) -> bool {
        let (new, old) = (self.0, other.0);
        new.claim.upstream == old.claim.upstream && new.origin == old.origin && new.sequence >= old.sequence
    }
}

/// The announcements, and the time at which new ones are merged.
#[derive(Default)]
pub(crate) struct GossipState {
    pub(crate) announcements: AnnouncementStore,
    pub(crate) now: Duration,
    /// Whether an announcement has come that is worth passing on at once.
    pub(crate) has_news: bool,
}

/// Merges the announcements that `foca` receives.
pub(crate) struct AnnouncementHandler(pub(crate) Rc<RefCell<GossipState>>);

impl BroadcastHandler<Identity> for AnnouncementHandler {
    type Key = AnnouncementKey;
    type Error = Infallible;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&Identity>,
    ) -> Result<Option<AnnouncementKey>, Infallible> {
        let gossip = &mut *self.0.borrow_mut();
        let Some(announcement) = Announcement::decode(data) else { return Ok(None) };
        let is_news = gossip.announcements.merge(gossip.now, announcement);
        gossip.has_news |= is_news;
        Ok(is_news.then_some(AnnouncementKey(announcement)))
    }
}

/// What a call of `foca` asks for, until it is applied.
#[derive(Default)]
pub(crate) struct RuntimeActions {
    /// Messages to send.
    pub(crate) sends: Vec<(Identity, Vec<u8>)>,
    /// Timers to schedule, and after how long they are due.
    pub(crate) timers: Vec<(Timer<Identity>, Duration)>,
    /// Members that are up (`true`) or down.
    pub(crate) member_changes: Vec<(Identity, bool)>,
    /// Members that go on under another generation.
    pub(crate) restarted: Vec<Identity>,
    /// The generation under which this process rejoins.
    pub(crate) rejoined_as: Option<u64>,
    /// How many probes have failed.
    pub(crate) failed_probes: u32,
}

impl Runtime<Identity> for &mut RuntimeActions {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(identity) => self.member_changes.push((identity.clone(), true)),
            Notification::MemberDown(identity) => self.member_changes.push((identity.clone(), false)),
            Notification::Rename(_, to) => self.restarted.push(to.clone()),
            Notification::Rejoin(to) => self.rejoined_as = Some(to.generation),
            Notification::ProbeFailed(..) => self.failed_probes += 1,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// Returns the settings of `foca` for a cluster of so many members.
pub(crate) fn foca_config(members: usize, own_name: &Name) -> foca::Config {
    let at_least_one = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, n| Some(foca::PeriodicParams { frequency, num_members: at_least_one(n) });
    let decades = ((members + 1) as f64).log10().ceil();
    let transmissions = (TRANSMISSIONS_PER_DECADE * decades).clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS);
    foca::Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_RTT,
        num_indirect_probes: at_least_one(FANOUT),
        max_transmissions: NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN),
        // The timeout itself is computed in `suspicion`.
        suspect_to_down_after: PROBE_PERIOD,
        remove_down_after: None,
        max_packet_size: at_least_one(Envelope::body_capacity(own_name)),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
        periodic_announce_to_down_members: None,
        periodic_gossip: periodic(GOSSIP_INTERVAL, FANOUT),
    }
}
