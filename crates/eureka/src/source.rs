//! A registry as a source of the list.

use crate::client::{Client, Failed, Manner};
use crate::mirror::{Mirror, Step, What};
use crate::model::{Document, Listed, Mapping, Notation};
use hyper::StatusCode;
use maplehook::parts::rate_limited_log::RateLimitedLog;
use maplehook::source::{EndpointState, EndpointUpdate, Entry, Reachability, Source, Task, stable_id};
use maplehook_admission::address::Network;
use maplehook_config::Wanted;
use maplehook_core::{Availability, CellId, KindId, UpdateScope, UpstreamId, ZoneId};
use maplehook_endpoints::{Bounds, Instance, InstanceStatus, Member, MemberState, Membership, Origin};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The longest pause after failures, in multiples of the pace.
const BACK_OFF: u32 = 16;
/// The sources, by precedence.
const REGISTRY: usize = 0;
const FILE: usize = 1;

/// How a registry is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its replicas, in the order in which they are asked.
    pub replicas: Vec<SocketAddr>,
    /// How it is spoken to.
    pub manner: Manner,
    /// What is read of it.
    pub what: What,
    /// Between two polls.
    pub pace: Duration,
    /// Where upstreams may be: an instance elsewhere is not offered.
    pub reach: Vec<Network>,
    /// How much is believed.
    pub bounds: Bounds,
    /// Names of the zones; an instance's gets the number of its name, new ones the next.
    pub zones: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            manner: Manner::default(),
            what: What::All,
            pace: Duration::from_millis(200),
            reach: Vec::new(),
            bounds: Bounds::default(),
            zones: Vec::new(),
        }
    }
}

impl Settings {
    /// As an operator's file says; the password is read from its file.
    pub fn by_file(file: &maplehook_config::Eureka, zones: &[String]) -> Result<Self, String> {
        let auth = file.auth.as_ref().map(|(user, path)| {
            let password = std::fs::read_to_string(path);
            let password = password.map_err(|e| format!("eureka.password_file: {}: {e}", path.display()))?;
            Ok::<_, String>((user.clone(), password.trim().to_owned()))
        });
        let [zone, kind, cell, weight, boot] = file.labels.clone();
        Ok(Self {
            replicas: file.servers.clone(),
            manner: Manner {
                path: file.path.clone(),
                notation: if file.xml { Notation::Xml } else { Notation::Json },
                timeout: file.timeout,
                auth: auth.transpose()?,
                mapping: Mapping { zone, kind, cell, weight, boot, secure: file.secure },
            },
            what: match &file.wanted {
                Wanted::All => What::All,
                Wanted::App(app) => What::App(app.clone()),
                Wanted::Vip(vip) => What::Vip(vip.clone()),
            },
            pace: file.poll,
            reach: file.reach.clone(),
            bounds: Bounds {
                max_missing_share: file.loss,
                confirming_lists: file.confirm,
                max_hold: file.hold,
                max_hold_answering: file.hold_answering,
                ..Bounds::default()
            },
            zones: zones.to_vec(),
        })
    }
}

struct State {
    membership: Membership,
    mirror: Mirror,
    /// What was told last.
    told: HashMap<UpstreamId, Entry>,
    keys: HashMap<UpstreamId, String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// A registry that is followed.
pub struct Eureka {
    settings: Settings,
    clients: Vec<Client>,
    start: Instant,
    state: RefCell<State>,
    /// The replica that is asked, and failures in a row.
    asked: Cell<usize>,
    failures: Cell<u32>,
    /// Something may have changed since the news was told last.
    stirred: Cell<bool>,
    /// The registry has no document of changes.
    whole_only: Cell<bool>,
    /// When the registry was last read, with what it said told.
    confirmed: Cell<Option<std::time::Instant>>,
    odd: RateLimitedLog,
    failing: RateLimitedLog,
}

impl Eureka {
    /// A registry; `known` are upstreams that the operator's file names, which count where the registry says nothing.
    pub fn new(settings: Settings, known: &[Entry], names: &[String]) -> Self {
        let clients = settings.replicas.iter().map(|r| Client::new(settings.manner.clone(), *r)).collect();
        let mut membership = Membership::new(settings.bounds, 2);
        let listed = known.iter().zip(names).map(|(entry, name)| Instance {
            address: entry.state.endpoint,
            weight: entry.weight,
            ..Instance::new(name, InstanceStatus::Up)
        });
        membership.apply_list(Duration::ZERO, Origin { source: FILE, replica: 0 }, listed.collect());
        let state = State {
            membership,
            mirror: Mirror::default(),
            told: HashMap::new(),
            keys: HashMap::new(),
            zones: settings.zones.clone(),
            kinds: Vec::new(),
        };
        Self {
            whole_only: Cell::new(settings.what != What::All),
            settings,
            clients,
            start: Instant::now(),
            state: RefCell::new(state),
            asked: Cell::new(0),
            failures: Cell::new(0),
            stirred: Cell::new(true),
            confirmed: Cell::new(None),
            odd: RateLimitedLog::default(),
            failing: RateLimitedLog::default(),
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Everybody, as believed now.
    pub fn members(&self) -> Vec<Member> {
        self.state.borrow().membership.members()
    }

    /// Asks once; what is news goes to `tell`. Returns when to ask again.
    async fn poll(&self, tell: &mut dyn FnMut(EndpointUpdate)) -> Duration {
        let at = self.asked.get();
        let Some(client) = self.clients.get(at) else { return self.settings.pace };
        let origin = Origin { source: REGISTRY, replica: at as u32 };
        let changes = self.state.borrow().mirror.is_whole() && !self.whole_only.get();
        let begun = std::time::Instant::now();
        let polled =
            if changes { self.changes(client, origin).await } else { self.whole(client, origin).await };
        let read = polled.is_ok();
        let wait = match polled {
            Ok(()) => {
                self.failures.set(0);
                self.settings.pace.mul_f64(0.9 + 0.2 * fastrand::f64())
            }
            Err(e) => {
                let failures = self.failures.get();
                self.failing.warn(|| format!("registry {}: {e}", client.replica()));
                self.failures.set(failures.saturating_add(1));
                // The next replica is asked at once, and all of them again after a while.
                self.state.borrow_mut().mirror.forget();
                self.asked.set((at + 1) % self.clients.len());
                let rounds = failures / self.clients.len() as u32;
                let times = if self.asked.get() == 0 { (1 << rounds.min(4)).min(BACK_OFF) } else { 1 };
                self.settings.pace.mul_f64(f64::from(times) * (0.5 + 0.5 * fastrand::f64()))
            }
        };
        self.state.borrow_mut().membership.advance(self.now());
        // A large fleet is not gone through at each poll that says nothing.
        if self.stirred.take()
            && let Some(news) = self.news()
        {
            tell(news);
        }
        if read {
            self.confirmed.set(Some(begun));
        }
        let unsettled = self.state.borrow().membership.has_missing();
        self.stirred.set(self.stirred.get() || unsettled);
        wait
    }

    async fn whole(&self, client: &Client, origin: Origin) -> Result<(), Failed> {
        let document = match client.get(&self.settings.what.whole()).await {
            // Of an application or a VIP that nobody is of.
            Err(Failed::Status(StatusCode::NOT_FOUND)) if self.settings.what != What::All => {
                Document::default()
            }
            got => got?,
        };
        let state = &mut *self.state.borrow_mut();
        if document.skipped > 0 {
            self.odd.warn(|| format!("{} instances of the registry can't be read", document.skipped));
        }
        if !state.mirror.whole(&document) {
            self.odd.warn(|| format!("the registry's hash is not its list's: {:?}", document.hash));
        }
        self.stirred.set(true);
        let list = document.instances.into_iter().map(|listed| self.instance(listed));
        state.membership.apply_list(self.now(), origin, list.collect());
        Ok(())
    }

    async fn changes(&self, client: &Client, origin: Origin) -> Result<(), Failed> {
        let document = match client.get("/apps/delta").await {
            Err(Failed::Status(StatusCode::NOT_FOUND | StatusCode::FORBIDDEN)) => {
                // Registries may be set not to list their changes.
                self.whole_only.set(true);
                return self.whole(client, origin).await;
            }
            got => got?,
        };
        let step = self.state.borrow_mut().mirror.change(document);
        match step {
            Step::Disagreed => self.whole(client, origin).await,
            Step::Agreed { changed, deleted } => {
                let state = &mut *self.state.borrow_mut();
                let stirs = !deleted.is_empty() || !changed.is_empty();
                self.stirred.set(self.stirred.get() || stirs);
                if !deleted.is_empty() {
                    state.membership.apply_deletions(self.now(), origin, &deleted);
                }
                let changed = changed.into_iter().map(|listed| self.instance(listed)).collect();
                state.membership.apply_changes(self.now(), origin, changed);
                state.membership.confirm_unchanged(self.now(), origin);
                Ok(())
            }
        }
    }

    /// An instance as membership takes it in: one that is not ours to reach has no address.
    fn instance(&self, listed: Listed) -> Instance {
        let Listed { mut instance, hostname, app, .. } = listed;
        let reach = |address: &SocketAddr| {
            self.settings.reach.is_empty() || self.settings.reach.iter().any(|n| n.contains(address.ip()))
        };
        match (instance.address, hostname) {
            (Some(address), _) if !reach(&address) => {
                self.odd.warn(|| {
                    format!(
                        "{app}: {} lists {address}, which is not in eureka.reach: it is not offered",
                        instance.key
                    )
                });
                instance.address = None;
            }
            (None, Some(name)) => self.odd.warn(|| {
                format!(
                    "{app}: {} lists the name {name:?} and no IP address: names are not looked up",
                    instance.key
                )
            }),
            _ => {}
        }
        instance
    }

    /// What has changed since it was told last.
    fn news(&self) -> Option<EndpointUpdate> {
        let state = &mut *self.state.borrow_mut();
        let members = state.membership.members();
        let mut now: HashMap<UpstreamId, Entry> = HashMap::with_capacity(members.len());
        for member in &members {
            let entry = entry(member, &self.settings, &mut state.zones, &mut state.kinds);
            if entry.state.endpoint.is_some() {
                now.insert(entry.id, entry);
            }
        }
        let gone = state.told.iter().filter(|(id, _)| !now.contains_key(id)).map(|(_, entry)| {
            let state = EndpointState { availability: Availability::Removed, ..entry.state.clone() };
            Entry { state, ..entry.clone() }
        });
        let mut entries: Vec<Entry> = gone.collect();
        entries.extend(
            now.iter().filter(|(id, entry)| state.told.get(id) != Some(entry)).map(|(_, e)| e.clone()),
        );
        if entries.is_empty() {
            return None;
        }
        state.keys = members.into_iter().map(|m| (stable_id(&m.instance.key), m.instance.key)).collect();
        state.told = now;
        Some(EndpointUpdate { scope: UpdateScope::Changes, entries })
    }

    fn full(&self) -> EndpointUpdate {
        let entries = self.state.borrow().told.values().cloned().collect();
        EndpointUpdate { scope: UpdateScope::Full, entries }
    }
}

fn entry(member: &Member, settings: &Settings, zones: &mut Vec<String>, kinds: &mut Vec<String>) -> Entry {
    let (instance, mapping) = (&member.instance, &settings.manner.mapping);
    // The number of a name; of too many names the last number stands for the rest.
    let number = |names: &mut Vec<String>, label: &str, most: usize| {
        let Some(name) = instance.labels.get(label) else { return 0 };
        match names.iter().position(|n| n == name) {
            Some(n) => n,
            None if names.len() >= most => most,
            None => {
                names.push(name.clone());
                names.len() - 1
            }
        }
    };
    Entry {
        id: stable_id(&instance.key),
        zone: ZoneId(number(zones, &mapping.zone, usize::from(u8::MAX)) as u8),
        kind: KindId(number(kinds, &mapping.kind, usize::from(u16::MAX)) as u16),
        cell: CellId(instance.labels.get(&mapping.cell).and_then(|c| c.parse().ok()).unwrap_or(0)),
        weight: instance.weight,
        state: EndpointState {
            endpoint: instance.address,
            availability: match member.state {
                MemberState::Available => Availability::Ready,
                MemberState::Draining => Availability::Draining,
                MemberState::Removed => Availability::Removed,
            },
            boot_ms: instance.boot_ms,
        },
    }
}

impl Source for Eureka {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async {
            self.poll(&mut |_| {}).await;
            self.full()
        })
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async {
            // Those of the file, before the registry has said anything.
            if let Some(news) = self.news() {
                tell(news);
            }
            loop {
                let wait = self.poll(tell).await;
                sleep(wait).await;
            }
        })
    }

    fn confirmed(&self) -> Option<std::time::Instant> {
        self.confirmed.get()
    }

    fn record_reachability(&self, id: UpstreamId, heard: Reachability) {
        let now = self.now();
        let State { membership, keys, .. } = &mut *self.state.borrow_mut();
        let Some(key) = keys.get(&id) else { return };
        match heard {
            Reachability::Answered => membership.record_answer(now, key),
            Reachability::Unreachable => membership.record_unreachable(now, key),
        }
    }
}
