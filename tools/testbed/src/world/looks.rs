//! What balancers show, and waits for it.

use super::{LOOK, World, lock};
use crate::balancer::view;
use crate::check::name;
use crate::history::What;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

impl World {
    /// What all who serve show now; `None` where one of them shows nothing.
    pub fn views(&self) -> BTreeMap<usize, Option<crate::balancer::View>> {
        (0..self.len())
            .filter_map(|n| {
                let operator = *lock(&self.operators[n]);
                let serves = lock(&self.balancers[n]).serves();
                serves.then(|| (n, operator.and_then(view)))
            })
            .collect()
    }

    /// Whether all who serve see just one another, alive.
    pub fn agrees(&self) -> bool {
        let views = self.views();
        let right: BTreeMap<String, u64> =
            views.iter().filter_map(|(n, view)| Some((name(*n), view.as_ref()?.incarnation))).collect();
        right.len() == views.len()
            && views.values().flatten().all(|view| {
                let alive = view.members.iter().filter(|member| member.state == "alive");
                alive.map(|m| (m.name.clone(), m.incarnation)).collect::<BTreeMap<_, _>>() == right
            })
    }

    /// Waits until something holds; the time that it took.
    pub fn until(&self, most: Duration, mut holds: impl FnMut(&Self) -> bool) -> Option<Duration> {
        let begun = Instant::now();
        loop {
            if holds(self) {
                return Some(begun.elapsed());
            }
            if begun.elapsed() > most {
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until one holds another to be so.
    pub fn until_holds(&self, most: Duration, n: usize, of: usize, state: &str) -> Option<Duration> {
        self.until(most, |world| {
            let operator = *lock(&world.operators[n]);
            let view = operator.and_then(view);
            view.is_some_and(|v| v.members.iter().any(|m| m.name == name(of) && m.state == state))
        })
    }

    /// Begins to look at what balancers show.
    pub fn watch(&mut self) {
        for n in 0..self.len() {
            let (history, operators, ends) =
                (Arc::clone(&self.history), Arc::clone(&self.operators), Arc::clone(&self.ends));
            self.threads.push(std::thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    let operator = *lock(&operators[n]);
                    if let Some(view) = operator.and_then(view) {
                        // Not what a process showed that was taken down meanwhile.
                        if *lock(&operators[n]) == operator {
                            history.note(What::Shows { balancer: n, view });
                        }
                    }
                    std::thread::sleep(LOOK);
                }
            }));
        }
    }
}
