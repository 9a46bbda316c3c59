//! Who is in which stage, and who may be changed now.

use crate::plan::{Plan, Stage, Whom};
use maplehook_cluster::hash::fnv1a;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A balancer, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// The order in which balancers are changed: each stage is a beginning of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    members: Vec<Member>,
    /// How many are in each stage.
    sizes: Vec<usize>,
}

impl Order {
    /// The order of a plan; `number` is the change's, so that it is not the same balancer each time that takes the first risk.
    pub fn of(plan: &Plan, members: &[Member], number: u64) -> Result<Self, String> {
        let mut first: Vec<&str> = Vec::new();
        for stage in &plan.stages {
            let Whom::Names(names) = &stage.whom else { continue };
            for name in names {
                if !members.iter().any(|member| member.name == *name) {
                    return Err(format!("there is no balancer {name:?}"));
                }
                if !first.contains(&name.as_str()) {
                    first.push(name);
                }
            }
        }
        // Zone by zone in turn, in a drawn order.
        let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in members.iter().filter(|member| !first.contains(&member.name.as_str())) {
            zones.entry(&member.zone).or_default().push(member);
        }
        let drawn = |text: &str| fnv1a(format!("{number} {text}").as_bytes());
        let mut zones: Vec<(&str, Vec<&Member>)> = zones.into_iter().collect();
        zones.sort_by_key(|(zone, _)| (drawn(zone), *zone));
        for (_, of) in &mut zones {
            of.sort_by_key(|member| (drawn(&member.name), member.name.clone()));
        }
        let mut order: Vec<Member> = Vec::with_capacity(members.len());
        let named = |name: &&str| members.iter().find(|member| member.name == **name).cloned();
        order.extend(first.iter().filter_map(named));
        let longest = zones.iter().map(|(_, of)| of.len()).max().unwrap_or(0);
        for turn in 0..longest {
            order.extend(zones.iter().filter_map(|(_, of)| of.get(turn)).map(|member| (*member).clone()));
        }
        let mut sizes = Vec::new();
        let mut before = 0;
        for (n, stage) in plan.stages.iter().enumerate() {
            let last = n + 1 == plan.stages.len();
            let size = if last { order.len() } else { size(stage, &order).max(before) };
            sizes.push(size);
            before = size;
        }
        Ok(Self { members: order, sizes })
    }

    /// How many stages there are.
    pub fn stages(&self) -> usize {
        self.sizes.len()
    }

    /// Those of a stage, the ones of the stages before among them.
    pub fn stage(&self, stage: usize) -> &[Member] {
        &self.members[..self.sizes.get(stage).copied().unwrap_or(0).min(self.members.len())]
    }

    /// Everybody.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether somebody is in a stage.
    pub fn is_in(&self, stage: usize, name: &str) -> bool {
        self.stage(stage).iter().any(|member| member.name == name)
    }

    /// Who may be taken away now to be changed, of those who are to be: no more of a zone than its share, those counted that are
    /// away already. Where a zone is so small that its share is nobody, one may go if nobody of it is away.
    pub fn may_go(&self, plan: &Plan, wanted: &BTreeSet<String>, away: &BTreeSet<String>) -> Vec<String> {
        let mut sizes: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for member in &self.members {
            let (all, gone) = sizes.entry(&member.zone).or_default();
            *all += 1;
            *gone += usize::from(away.contains(&member.name));
        }
        let mut chosen = Vec::new();
        for member in self.members.iter().filter(|m| wanted.contains(&m.name) && !away.contains(&m.name)) {
            let Some((all, gone)) = sizes.get_mut(member.zone.as_str()) else { continue };
            let most = ((*all as f64 * plan.zone_share) as usize).max(1);
            if *gone < most {
                *gone += 1;
                chosen.push(member.name.clone());
            }
        }
        chosen
    }
}

fn size(stage: &Stage, order: &[Member]) -> usize {
    match &stage.whom {
        Whom::Share(share) => ((order.len() as f64 * share).ceil() as usize).clamp(1, order.len()),
        Whom::Names(names) => {
            let last = order.iter().rposition(|member| names.contains(&member.name));
            last.map_or(0, |at| at + 1)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn plan(stages: &str) -> Plan {
        crate::plan::read(&format!("[change]\nprogram = 'p'\nzone_share = 0.34\n{stages}")).unwrap()
    }

    fn members(zones: &[usize]) -> Vec<Member> {
        let of = |(z, n): (usize, &usize)| -> Vec<Member> {
            (0..*n).map(|k| Member { name: format!("b{z}-{k}"), zone: format!("z{z}") }).collect()
        };
        zones.iter().enumerate().flat_map(of).collect()
    }

    const STAGES: &str =
        "[[stage]]\nshare = 0.01\n[[stage]]\nshare = 0.05\n[[stage]]\nshare = 0.25\n[[stage]]\nshare = 1.0\n";

    proptest! {
        /// Stages are nested, spread over the zones, and the last is everybody; the same at whoever reckons it.
        #[test]
        fn stages_are_nested_and_spread(zones in prop::collection::vec(1usize..40, 1..5), number in any::<u64>()) {
            let (plan, members) = (plan(STAGES), members(&zones));
            let order = Order::of(&plan, &members, number).unwrap();
            prop_assert_eq!(&order, &Order::of(&plan, &members, number).unwrap());
            prop_assert_eq!(order.stage(0).len(), (members.len() as f64 * 0.01).ceil() as usize);
            for stage in 1..order.stages() {
                prop_assert!(order.stage(stage).starts_with(order.stage(stage - 1)));
            }
            let mut all = order.stage(3).to_vec();
            all.sort();
            let mut expected = members.clone();
            expected.sort();
            prop_assert_eq!(all, expected);
            // No zone has two more than another one of which some are left.
            let third = order.stage(2);
            let of = |zone: usize| third.iter().filter(|m| m.zone == format!("z{zone}")).count();
            for a in 0..zones.len() {
                for (b, size) in zones.iter().enumerate() {
                    prop_assert!(of(a) <= of(b) + 1 || of(b) == *size);
                }
            }
        }

        /// No more of a zone are ever away than its share, or one.
        #[test]
        fn a_zone_keeps_its_share(zones in prop::collection::vec(1usize..12, 1..4), away in prop::collection::btree_set(0usize..30, 0..9)) {
            let (plan, members) = (plan(STAGES), members(&zones));
            let order = Order::of(&plan, &members, 7).unwrap();
            let all: BTreeSet<String> = members.iter().map(|m| m.name.clone()).collect();
            let away: BTreeSet<String> = away.iter().filter_map(|n| members.get(*n)).map(|m| m.name.clone()).collect();
            let go = order.may_go(&plan, &all, &away);
            for (z, size) in zones.iter().enumerate() {
                let before = away.iter().filter(|name| name.starts_with(&format!("b{z}-"))).count();
                let more = go.iter().filter(|name| name.starts_with(&format!("b{z}-"))).count();
                let most = ((*size as f64 * 0.34) as usize).max(1);
                prop_assert!(more == 0 || before + more <= most);
                prop_assert!(more > 0 || before >= most || before == *size);
            }
        }
    }

    #[test]
    fn names_come_first_and_must_exist() {
        let named = "[[stage]]\nnames = ['b1-2']\n[[stage]]\nshare = 0.5\n[[stage]]\nshare = 1.0\n";
        let order = Order::of(&plan(named), &members(&[3, 3]), 1).unwrap();
        assert_eq!(order.stage(0).iter().map(|m| m.name.as_str()).collect::<Vec<_>>(), ["b1-2"]);
        assert_eq!(order.stage(1).len(), 3);
        assert!(order.is_in(1, "b1-2"));
        let wrong = Order::of(&plan(named), &members(&[3]), 1);
        assert_eq!(wrong, Err("there is no balancer \"b1-2\"".into()));
    }
}
