//! Which members are in which stage, and which of them may be changed now.

use crate::plan::{Plan, Stage, StageMembers};
use maplehook_cluster::hash::fnv1a;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A balancer and its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// A plan names a balancer that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("there is no balancer {name:?}")]
pub struct UnknownMemberError {
    /// The name.
    pub name: String,
}

/// The order in which members are changed. Each stage is a prefix of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageOrder {
    members: Vec<Member>,
    /// Number of members of each stage.
    sizes: Vec<usize>,
}

impl StageOrder {
    /// The order for a plan. It depends on the number of the rollout, so that the same balancer does not take the first risk each
    /// time, and on nothing else: every member computes the same.
    ///
    /// # Errors
    ///
    /// If the plan names a balancer that is no member.
    pub fn new(plan: &Plan, members: &[Member], rollout_number: u64) -> Result<Self, UnknownMemberError> {
        let named = named_members(plan, members)?;
        let mut order: Vec<Member> = named.into_iter().cloned().collect();
        let is_named = |member: &&Member| order.iter().any(|named| named.name == member.name);
        let rest: Vec<&Member> = members.iter().filter(|member| !is_named(member)).collect();
        order.extend(interleaved_by_zone(&rest, rollout_number).into_iter().cloned());
        let mut sizes = Vec::new();
        let mut size_before = 0;
        for (n, stage) in plan.stages.iter().enumerate() {
            let is_last = n + 1 == plan.stages.len();
            let size = if is_last { order.len() } else { stage_size(stage, &order).max(size_before) };
            sizes.push(size);
            size_before = size;
        }
        Ok(Self { members: order, sizes })
    }

    /// Number of stages.
    pub fn stages(&self) -> usize {
        self.sizes.len()
    }

    /// Members of a stage, those of the stages before included; nobody for a stage that does not exist.
    pub fn stage(&self, stage: usize) -> &[Member] {
        &self.members[..self.sizes.get(stage).copied().unwrap_or(0).min(self.members.len())]
    }

    /// All members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether a member is in a stage.
    pub fn is_in_stage(&self, stage: usize, name: &str) -> bool {
        self.stage(stage).iter().any(|member| member.name == name)
    }

    /// Selects, of the members that are still to be changed, those that may be taken out of service for it now: no more of a zone
    /// than the plan's share, members that are out of service already counted. Of a zone so small that its share is nobody, one
    /// may go if nobody of it is out.
    pub fn select_for_change(
        &self,
        plan: &Plan,
        wanted: &BTreeSet<String>,
        out_of_service: &BTreeSet<String>,
    ) -> Vec<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for member in &self.members {
            let (all, out) = zones.entry(&member.zone).or_default();
            *all += 1;
            *out += usize::from(out_of_service.contains(&member.name));
        }
        let is_candidate =
            |member: &&Member| wanted.contains(&member.name) && !out_of_service.contains(&member.name);
        let mut selected = Vec::new();
        for member in self.members.iter().filter(is_candidate) {
            let Some((all, out)) = zones.get_mut(member.zone.as_str()) else { continue };
            let max_out = ((*all as f64 * plan.max_zone_share) as usize).max(1);
            if *out < max_out {
                *out += 1;
                selected.push(member.name.clone());
            }
        }
        selected
    }
}

/// Members that the plan's stages name, in that order, each once.
fn named_members<'a>(plan: &Plan, members: &'a [Member]) -> Result<Vec<&'a Member>, UnknownMemberError> {
    let mut named: Vec<&Member> = Vec::new();
    for stage in &plan.stages {
        let StageMembers::Names(names) = &stage.members else { continue };
        for name in names {
            let member = members.iter().find(|member| member.name == *name);
            let member = member.ok_or_else(|| UnknownMemberError { name: name.clone() })?;
            if !named.iter().any(|known| known.name == member.name) {
                named.push(member);
            }
        }
    }
    Ok(named)
}

/// One member of each zone in turn, zones and members in an order drawn by the rollout's number.
fn interleaved_by_zone<'a>(members: &[&'a Member], rollout_number: u64) -> Vec<&'a Member> {
    let rank = |name: &str| fnv1a(format!("{rollout_number} {name}").as_bytes());
    let mut by_zone: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in members {
        by_zone.entry(&member.zone).or_default().push(member);
    }
    let mut zones: Vec<(&str, Vec<&Member>)> = by_zone.into_iter().collect();
    zones.sort_by_key(|(zone, _)| (rank(zone), *zone));
    for (_, members) in &mut zones {
        members.sort_by_key(|member| (rank(&member.name), member.name.clone()));
    }
    let longest = zones.iter().map(|(_, members)| members.len()).max().unwrap_or(0);
    let turn = |turn: usize| zones.iter().filter_map(move |(_, members)| members.get(turn).copied());
    (0..longest).flat_map(turn).collect()
}

fn stage_size(stage: &Stage, order: &[Member]) -> usize {
    match &stage.members {
        StageMembers::Share(share) => ((order.len() as f64 * share).ceil() as usize).clamp(1, order.len()),
        StageMembers::Names(names) => {
            let last = order.iter().rposition(|member| names.contains(&member.name));
            last.map_or(0, |at| at + 1)
        }
    }
}

#[cfg(test)]
mod tests;
