//! What other balancers say of upstreams, laid over what the own discovery says: a source round a source.
//!
//! What it comes to, `maplehook_tier::care` decides. Here it is taken to and fro: the own list goes to the tier as claims,
//! the words of others come back as news of entries that are treated with more care than the own list asks for.

use lapisroute::{Availability, FleetScope, UpstreamId};
use maplehook::source::{Entry, Heard, News, Source, Task};
use maplehook_link::{Member, Told};
use maplehook_tier::care::{Care, Own, View};
use maplehook_tier::words::Claim;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// For how long a start is told to others.
const STARTED: u64 = 20_000;
/// How often it is seen whether the own source has been read, and which starts are still new.
const LOOK: Duration = Duration::from_millis(500);

/// A source with the words of others laid over it.
pub struct Hearsay {
    inner: Rc<dyn Source>,
    care: RefCell<Care>,
    entries: RefCell<BTreeMap<UpstreamId, Entry>>,
    claims: watch::Sender<Arc<Vec<Claim>>>,
    told: RefCell<watch::Receiver<Told>>,
    idle: Cell<usize>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Hearsay {
    /// Over this source, which knew this list before it was read. Drains by hearsay take at most this share of it.
    pub fn new(inner: Rc<dyn Source>, known: &News, member: &Member, share: f64) -> Rc<Self> {
        let hearsay = Self {
            inner,
            care: RefCell::new(Care::new(share)),
            entries: RefCell::default(),
            claims: member.claims.clone(),
            told: RefCell::new(member.told.clone()),
            idle: Cell::new(0),
        };
        hearsay.own(known.clone());
        Rc::new(hearsay)
    }

    /// The own source has said something; returns it with the words of others laid over it.
    fn own(&self, news: News) -> News {
        if news.scope == FleetScope::Failed {
            return news;
        }
        let whole = matches!(news.scope, FleetScope::Full | FleetScope::Cached);
        {
            let entries = &mut *self.entries.borrow_mut();
            if whole {
                entries.clear();
            }
            for entry in &news.entries {
                match entry.place.availability {
                    Availability::Gone => entries.remove(&entry.id),
                    _ => entries.insert(entry.id, entry.clone()),
                };
            }
        }
        let own = news.entries.iter().map(|entry| {
            let ready = match entry.place.availability {
                Availability::Ready => Some(true),
                Availability::Draining => Some(false),
                Availability::Gone => None,
            };
            (entry.id.0, ready.map(|ready| Own { ready, boot_ms: entry.place.boot_ms }))
        });
        self.care.borrow_mut().listed(whole, own);
        self.take_words();
        self.publish();
        let changes = self.care.borrow_mut().changes();
        let mut told: Vec<Entry> = news.entries.iter().map(|entry| self.seen(entry)).collect();
        if !whole {
            let named: Vec<UpstreamId> = news.entries.iter().map(|entry| entry.id).collect();
            told.extend(self.changed(&changes).into_iter().filter(|entry| !named.contains(&entry.id)));
        }
        News { scope: news.scope, entries: told }
    }

    /// An entry of the own list, as it is to be treated.
    fn seen(&self, entry: &Entry) -> Entry {
        let mut entry = entry.clone();
        if let Some(View { drained, boot_ms }) = self.care.borrow().shown(entry.id.0) {
            if drained && entry.place.availability == Availability::Ready {
                entry.place.availability = Availability::Draining;
            }
            entry.place.boot_ms = boot_ms;
        }
        entry
    }

    fn changed(&self, changes: &[(u64, Option<View>)]) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let of = |(id, view): &(u64, Option<View>)| view.and_then(|_| entries.get(&UpstreamId(*id)));
        changes.iter().filter_map(of).map(|entry| self.seen(entry)).collect()
    }

    fn take_words(&self) {
        let told = self.told.borrow_mut().borrow_and_update().clone();
        let mut care = self.care.borrow_mut();
        care.told(&told.effects, unix_ms());
        let confirmed = self.inner.confirmed().and_then(|at| at.checked_duration_since(told.epoch));
        if let Some(confirmed) = confirmed {
            care.confirmed(confirmed);
        }
        let (held, idle) = care.hearsay();
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
            let boot_ms = entry.place.boot_ms;
            let drained = entry.place.availability == Availability::Draining;
            (drained || boot_ms > since).then_some(Claim { upstream: entry.id.0, boot_ms, drained })
        };
        let claims: Vec<Claim> = self.entries.borrow().values().filter_map(claim).collect();
        self.claims.send_if_modified(|before| {
            let changed = **before != claims;
            if changed {
                *before = Arc::new(claims);
            }
            changed
        });
    }

    /// Follows the words of others, for good.
    async fn listen(&self, tell: &RefCell<&mut dyn FnMut(News)>) {
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
            let changes = self.care.borrow_mut().changes();
            let entries = self.changed(&changes);
            if !entries.is_empty() {
                (tell.borrow_mut())(News { scope: FleetScope::Changes, entries });
            }
        }
    }
}

impl Source for Hearsay {
    fn fetch(&self) -> Task<'_, News> {
        Box::pin(async { self.own(self.inner.fetch().await) })
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(News)) -> Task<'a, ()> {
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

    fn heard(&self, upstream: UpstreamId, heard: Heard) {
        self.inner.heard(upstream, heard);
    }

    fn confirmed(&self) -> Option<Instant> {
        self.inner.confirmed()
    }
}
