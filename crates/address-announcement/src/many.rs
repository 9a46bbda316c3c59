//! An address that every site announces that is well.
//!
//! Nothing is done about a site while it serves its demand by spill. Then it announces with a worse preference while the others
//! rise; when those have stood for a while it withdraws. It comes back after them, slowly, and later each time that it fails.

use crate::Announce;
use crate::decide::Scene;
use crate::state::{Phase, RETURNS, SiteRecord, Standing, TAKES, WELL, WORSE};
use std::collections::BTreeMap;
use std::time::Duration;

/// For how long the takers' preference has stood before a giver withdraws.
pub const STANDS: Duration = Duration::from_secs(1);

/// How it is to stand.
pub(crate) fn decide(scene: &Scene<'_>) -> Standing {
    let mut next = scene.base.clone();
    next.announce = Announce::Many;
    // What `one` had of it.
    (next.holder, next.last, next.next, next.pinned) = (None, None, None, None);
    next.unheard.clear();
    next.all_stay = None;
    let sites: Vec<&str> = scene.sites.iter().map(|(site, _)| *site).collect();
    let all_ordered = sites.iter().all(|site| next.withdrawn.contains_key(*site));
    let ordered = |site: &str| !all_ordered && scene.base.withdrawn.contains_key(site);
    let open: Vec<&str> = sites.iter().copied().filter(|site| !ordered(site)).collect();
    let any_well = open.iter().any(|site| scene.well(site));

    let mut phases: BTreeMap<&str, Phase> = BTreeMap::new();
    for site in &sites {
        let phase = if ordered(site) { leaves(scene, site) } else { step(scene, site, any_well) };
        phases.insert(site, phase);
    }
    if !any_well {
        next.all_stay = Some("no site that is in touch is well".into());
        for site in &open {
            if phases[site] == Phase::Away {
                phases.insert(site, Phase::Worse);
            }
        }
    }
    if all_ordered {
        next.all_stay = Some("every site is withdrawn by order".into());
    }
    keep(scene, &open, &mut phases);
    return_early(scene, &open, &mut phases);

    let giver = phases.values().any(|phase| matches!(phase, Phase::Worse | Phase::Away));
    let preference = |site: &str, phase: Phase| match phase {
        Phase::Away => None,
        _ if next.all_stay.is_some() && !ordered(site) => Some(WELL),
        Phase::Well if giver && scene.well(site) => Some(TAKES),
        Phase::Well => Some(WELL),
        Phase::Returning => Some(RETURNS),
        Phase::Worse => Some(WORSE),
    };
    let announcing =
        phases.iter().filter_map(|(site, phase)| Some(((*site).to_owned(), preference(site, *phase)?)));
    next.announcing = announcing.collect();
    let record = |phase: &Phase| SiteRecord { phase: *phase, ..SiteRecord::default() };
    next.sites = phases.iter().map(|(site, phase)| ((*site).to_owned(), record(phase))).collect();
    next
}

/// The phase that was agreed. A site that is added later comes slowly, the first ones at once.
fn agreed(scene: &Scene<'_>, site: &str) -> Phase {
    if !scene.agreed {
        return Phase::Well;
    }
    let one = scene.base.announce == Announce::One;
    let holds = scene.base.holder.as_deref() == Some(site);
    match scene.base.sites.get(site) {
        Some(record) if !one => record.phase,
        _ if one && holds => Phase::Well,
        _ => Phase::Returning,
    }
}

/// Whether another site has risen and is known to act on it, so that this one may go.
fn taken(scene: &Scene<'_>, site: &str) -> bool {
    scene.sites.iter().any(|(other, region)| {
        *other != site
            && scene.well(other)
            && agreed(scene, other) == Phase::Well
            && scene.memory(other).and_then(|it| it.takes_for(scene.now)).is_some_and(|time| time >= STANDS)
            && !scene.behind.contains_key(region)
    })
}

/// Where a site goes that an operator withdraws.
fn leaves(scene: &Scene<'_>, site: &str) -> Phase {
    let phase = agreed(scene, site);
    let stood = scene.memory(site).is_some_and(|memory| memory.phase_for(scene.now) >= STANDS);
    let others =
        scene.base.announcing.keys().any(|other| other != site && !scene.base.withdrawn.contains_key(other));
    match phase {
        Phase::Away => Phase::Away,
        Phase::Worse if stood && others => Phase::Away,
        _ => Phase::Worse,
    }
}

/// Where a site goes by how well it is.
fn step(scene: &Scene<'_>, site: &str, any_well: bool) -> Phase {
    let phase = agreed(scene, site);
    // A phase that is not agreed has not lasted yet.
    let begun = scene.base.announce == Announce::Many && scene.base.sites.contains_key(site);
    let Some(memory) = scene.memory(site).filter(|_| begun) else { return phase };
    let ill = memory.ill_for(scene.now).filter(|_| any_well);
    let ill_for = |time: Duration| ill.is_some_and(|ill| ill >= time);
    let after = scene.address.withdraw_after;
    match phase {
        Phase::Well | Phase::Returning if ill_for(after / 2) => Phase::Worse,
        Phase::Returning if !memory.ill && memory.phase_for(scene.now) >= scene.address.return_after => {
            Phase::Well
        }
        Phase::Worse if memory.may_return(scene.address, scene.now) => Phase::Well,
        Phase::Worse if ill_for(after) && taken(scene, site) => Phase::Away,
        Phase::Away if memory.may_return(scene.address, scene.now) => Phase::Returning,
        phase => phase,
    }
}

/// Never fewer than are to be kept, however ill they seem: who announces already goes on, else the first of the list comes back.
fn keep<'a>(scene: &Scene<'_>, open: &[&'a str], phases: &mut BTreeMap<&'a str, Phase>) {
    let least = scene.address.keep_at_least.max(1).min(open.len());
    let mut away: Vec<&'a str> = open.iter().copied().filter(|site| phases[site] == Phase::Away).collect();
    let missing = least.saturating_sub(open.len() - away.len());
    away.sort_by_key(|site| (!scene.well(site), agreed(scene, site) == Phase::Away));
    phases.extend(away.into_iter().take(missing).map(|site| (site, Phase::Worse)));
}

/// Where none that announces is well, those that are come back at once.
fn return_early<'a>(scene: &Scene<'_>, open: &[&'a str], phases: &mut BTreeMap<&'a str, Phase>) {
    if open.iter().any(|site| phases[site] != Phase::Away && scene.well(site)) {
        return;
    }
    for &site in open {
        if phases[site] == Phase::Away && scene.well(site) {
            phases.insert(site, Phase::Returning);
        }
    }
}
