//! The ways of a world, and what may be done to them.

use super::World;
use crate::history::What;
use crate::relay::{Trouble, Way};

impl World {
    /// The way from one balancer to another.
    pub fn way(&self, from: usize, to: usize) -> &Way {
        &self.ways[from][to]
    }

    /// Does something to all ways between some and some.
    pub fn between(&self, from: &[usize], to: &[usize], change: impl Fn(&mut Trouble)) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.ways[a][b].set(&change);
        }
    }

    /// Does something to all ways between balancers.
    pub fn everywhere(&self, change: impl Fn(&mut Trouble)) {
        let all: Vec<usize> = (0..self.len()).collect();
        self.between(&all, &all, change);
    }

    /// Resets all connections between balancers.
    pub fn reset(&self) {
        self.ways.iter().flatten().for_each(|way| way.reset());
    }

    /// The way of a balancer to discovery.
    pub fn to_discovery(&self, n: usize) -> &Way {
        &self.discovery[n]
    }

    /// The ways of all to an upstream.
    pub fn to_upstream(&self, n: usize) -> impl Iterator<Item = &Way> {
        self.to_apps.iter().map(move |row| &*row[n])
    }

    /// The way of one balancer to an upstream; without a map all share it.
    pub fn from_to_upstream(&self, balancer: usize, n: usize) -> &Way {
        &self.to_apps[balancer % self.to_apps.len()][n]
    }

    /// Discovery says that an upstream drains.
    pub fn drain(&self, upstream: usize) {
        self.registry.mark("APP", &format!("u{}", upstream + 1), "OUT_OF_SERVICE");
        self.history.note(What::Drains { upstream });
    }

    /// All ways are as they were at the start.
    pub fn heal_ways(&self) {
        for way in self.ways.iter().flatten().chain(&self.discovery).chain(self.to_apps.iter().flatten()) {
            way.set(|trouble| *trouble = Trouble::default());
        }
    }
}
