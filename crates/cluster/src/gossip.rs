//! The side that is turned to `foca`: what it asks for, the words that it passes on, and its settings.

use crate::identity::Identity;
use crate::interface::PERIOD;
use crate::name::Name;
use crate::wire::Envelope;
use crate::words::{Word, Words};
use foca::{BroadcastHandler, Invalidates, Notification, Runtime, Timer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// How long a probed member has until others are asked to probe it.
const RTT: Duration = Duration::from_millis(200);
/// Between two rounds of gossip.
pub(crate) const GOSSIP: Duration = Duration::from_millis(200);
/// Others that are asked, or told, at once.
const FAN: usize = 3;

/// A word's place among those that are being passed on.
#[derive(Clone, Copy)]
pub(crate) struct Key(Word);

impl Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        let (a, b) = (self.0, other.0);
        a.claim.upstream == b.claim.upstream && a.teller == b.teller && a.stamp >= b.stamp
    }
}

/// The words, and the time at which they come.
#[derive(Default)]
pub(crate) struct Ear {
    pub(crate) words: Words,
    pub(crate) now: Duration,
    /// News has come that is worth passing on at once.
    pub(crate) stirred: bool,
}

pub(crate) struct Listens(pub(crate) Rc<RefCell<Ear>>);

impl BroadcastHandler<Identity> for Listens {
    type Key = Key;
    type Error = Infallible;

    fn receive_item(&mut self, data: &[u8], _sender: Option<&Identity>) -> Result<Option<Key>, Infallible> {
        let ear = &mut *self.0.borrow_mut();
        let Some(word) = Word::read(data) else { return Ok(None) };
        let news = ear.words.take(ear.now, word);
        ear.stirred |= news;
        Ok(news.then_some(Key(word)))
    }
}

/// What `foca` asks for, until it is dealt with.
#[derive(Default)]
pub(crate) struct Asked {
    pub(crate) sends: Vec<(Identity, Vec<u8>)>,
    pub(crate) timers: Vec<(Timer<Identity>, Duration)>,
    pub(crate) up: Vec<(Identity, bool)>,
    pub(crate) renamed: Vec<Identity>,
    pub(crate) renewed: Option<u64>,
    pub(crate) probes_failed: u32,
}

impl Runtime<Identity> for &mut Asked {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(identity) => self.up.push((identity.clone(), true)),
            Notification::MemberDown(identity) => self.up.push((identity.clone(), false)),
            Notification::Rename(_, to) => self.renamed.push(to.clone()),
            Notification::Rejoin(to) => self.renewed = Some(to.start),
            Notification::ProbeFailed(..) => self.probes_failed += 1,
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

pub(crate) fn config(members: usize, own: &Name) -> foca::Config {
    let number = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, n| Some(foca::PeriodicParams { frequency, num_members: number(n) });
    let rounds = 6.0 * ((members + 1) as f64).log10().ceil();
    foca::Config {
        probe_period: PERIOD,
        probe_rtt: RTT,
        num_indirect_probes: number(FAN),
        max_transmissions: NonZeroU8::new(rounds.clamp(6.0, 100.0) as u8).unwrap_or(NonZeroU8::MIN),
        // The time itself is reckoned here; see `suspicion`.
        suspect_to_down_after: PERIOD,
        remove_down_after: None,
        max_packet_size: number(Envelope::room(own)),
        notify_down_members: true,
        periodic_announce: periodic(Duration::from_secs(5), 1),
        periodic_announce_to_down_members: None,
        periodic_gossip: periodic(GOSSIP, FAN),
    }
}
