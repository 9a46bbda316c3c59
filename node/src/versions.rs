//! The version in force, on the thread that serves: new rules take the place of the old ones while requests go on.
//!
//! A class, a tenant and a zone have one number for the life of the process, so that a request under way means the same before
//! and after. Learned state, tokens and connections stay.

use crate::entrance::Entrance;
use crate::lists::{self, Lists};
use crate::requests::Requests;
use lapisroute::{Class, ClassId, Settings, Tenant, TenantId, ZoneId};
use maplehook::parts::driver::Driver;
use maplehook::parts::upstream::{Lease, Upstreams};
use maplehook::tally::Counting;
use maplehook_config::Proxy;
use maplehook_quorum::Acting;
use maplehook_routes::{Passage, Route, Rules};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Names that have numbers.
#[derive(Default)]
struct Numbers {
    classes: Vec<(String, Class, Passage)>,
    tenants: Vec<String>,
    zones: Vec<String>,
}

/// A version's rules, under this process's numbers.
struct Numbered {
    settings: Settings,
    classes: Vec<String>,
    rules: Rules,
    passages: Vec<Passage>,
    zones: Vec<ZoneId>,
    gone: Vec<TenantId>,
}

fn number(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

impl Numbers {
    /// Names that stay keep their numbers; of what has vanished the number stays, and nothing comes under it.
    fn take(&mut self, proxy: &Proxy) -> Numbered {
        let mut of = Vec::new();
        for (k, name) in proxy.classes.iter().enumerate() {
            let class = (name.clone(), proxy.settings.classes[k].clone(), proxy.passages[k].clone());
            match self.classes.iter().position(|(known, ..)| known == name) {
                Some(n) => {
                    self.classes[n] = class;
                    of.push(n);
                }
                None => {
                    self.classes.push(class);
                    of.push(self.classes.len() - 1);
                }
            }
        }
        let route =
            |route: &Route| Route { class: ClassId(of[usize::from(route.class.0)] as u16), ..route.clone() };
        // Where no tenant has a name there is one that has none.
        let unnamed = [String::new()];
        let named = if proxy.tenants.is_empty() { &unnamed[..] } else { &proxy.tenants };
        let numbers: Vec<usize> = named.iter().map(|name| number(&mut self.tenants, name)).collect();
        let mut tenants = vec![Tenant { allowance_per_s: 0.0 }; self.tenants.len()];
        for (n, tenant) in numbers.iter().zip(&proxy.settings.tenants) {
            tenants[*n] = tenant.clone();
        }
        let gone = (0..tenants.len()).filter(|n| !numbers.contains(n)).map(|n| TenantId(n as u32)).collect();
        // A name that nobody can utter keeps a place that nobody comes to.
        let utterable = |(n, name): (usize, &String)| {
            if numbers.contains(&n) { name.clone() } else { format!("\u{0}{name}") }
        };
        let names: Vec<String> = if proxy.tenants.is_empty() && self.tenants.len() == 1 {
            Vec::new()
        } else {
            self.tenants.iter().enumerate().map(utterable).collect()
        };
        let zones =
            proxy.zones.iter().map(|name| ZoneId(number(&mut self.zones, name).min(255) as u8)).collect();
        let classes = self.classes.iter().map(|(_, class, _)| class.clone()).collect();
        Numbered {
            settings: Settings { classes, tenants, ..proxy.settings.clone() },
            classes: self.classes.iter().map(|(name, ..)| name.clone()).collect(),
            rules: Rules::new(proxy.routes.iter().map(route).collect(), names, proxy.headers.clone()),
            passages: self.classes.iter().map(|(.., passage)| passage.clone()).collect(),
            zones,
            gone,
        }
    }
}

/// Whom a version concerns.
pub struct Versions {
    numbers: Numbers,
    /// The list, where it is the file's.
    pub lists: Option<Rc<Lists>>,
    /// The reader of requests.
    pub requests: Rc<Requests>,
    /// The door.
    pub entrance: Rc<Entrance>,
    /// The connections.
    pub upstreams: Rc<Upstreams>,
    /// Whether everything is refused, as operators hear.
    pub refuses: Arc<AtomicBool>,
}

/// What is acted on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Rules,
    Careful,
    Refuses,
}

impl Versions {
    /// With the numbers that a process has from its start on.
    pub fn new(
        began_with: &Proxy,
        lists: Option<Rc<Lists>>,
        requests: Rc<Requests>,
        entrance: Rc<Entrance>,
        upstreams: Rc<Upstreams>,
        refuses: Arc<AtomicBool>,
    ) -> Self {
        let mut numbers = Numbers::default();
        numbers.take(began_with);
        Self { numbers, lists, requests, entrance, upstreams, refuses }
    }

    /// Follows what is to be acted on, as long as the process lives.
    pub async fn follow(
        mut self,
        mut acting: watch::Receiver<Acting>,
        applied: watch::Sender<u64>,
        driver: Rc<Driver>,
        counting: Rc<Counting>,
    ) {
        let mut present: Option<(u64, Mode)> = None;
        loop {
            let now = Instant::now();
            let wanted = acting.borrow_and_update().clone();
            let until = wanted.until.map(Instant::from_std);
            let holds = !wanted.cut_off && until.is_none_or(|until| now < until);
            let mode = match &wanted.careful {
                _ if holds => Mode::Rules,
                Some(_) => Mode::Careful,
                None => Mode::Refuses,
            };
            let lease = match (mode, until) {
                (Mode::Rules, Some(until)) => Lease::Until { until, first_too: wanted.careful.is_none() },
                _ => Lease::Free,
            };
            self.upstreams.lease(lease);
            if present.replace((wanted.epoch, mode)) != Some((wanted.epoch, mode)) {
                self.apply(&wanted, mode, &driver, &counting);
            }
            // What is acted on careful reading is within the step, too.
            applied.send_if_modified(|before| std::mem::replace(before, wanted.epoch) != wanted.epoch);
            tokio::select! {
                changed = acting.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = sleep_until(until.unwrap_or(now)), if holds && until.is_some() => {}
            }
        }
    }

    /// The decisions come first: no request may come by a class or tenant that they do not know.
    fn apply(&mut self, acting: &Acting, mode: Mode, driver: &Rc<Driver>, counting: &Counting) {
        let careful = acting.careful.as_ref().filter(|_| mode == Mode::Careful);
        let proxy = careful.unwrap_or(&acting.rules);
        let numbered = self.numbers.take(proxy);
        let guarantees: Vec<f64> = numbered.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        driver.retune(numbered.settings, numbered.gone);
        counting.name(&numbered.classes);
        self.entrance.guarantee(&guarantees);
        self.entrance.know(proxy.clients.known.clone());
        if let Some(lists) = &self.lists {
            let zones = numbered.zones;
            let zone = |zone: ZoneId| zones.get(usize::from(zone.0)).copied().unwrap_or(zone);
            lists.set(lists::entries(&proxy.upstreams, zone));
        }
        let label = proxy.version.then(|| match mode {
            Mode::Rules => acting.label.clone(),
            _ => format!("{};careful", acting.label),
        });
        let refused = proxy.clients.refused.clone();
        self.requests.replace(numbered.rules, numbered.passages, refused, label.as_deref());
        self.requests.refuse(mode == Mode::Refuses);
        self.refuses.store(mode == Mode::Refuses, Ordering::Release);
        match mode {
            Mode::Rules => tracing::info!(version = acting.label, "in force here"),
            Mode::Careful => tracing::warn!(
                version = acting.label,
                "no word from the other balancers: nothing is sent twice until there is"
            ),
            Mode::Refuses => {
                tracing::warn!(version = acting.label, "no word from the other balancers: all is refused")
            }
        }
    }
}
