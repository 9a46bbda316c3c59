//! Decisions for addresses that every healthy site announces.
//!
//! A site whose demand is served by spillover keeps announcing normally. When its demand is no longer served,
//! it announces with a lower preference while the preference of the other sites rises. It withdraws once the
//! raised preferences have been in force for [`MIN_TAKEOVER_TIME`]. It returns with a lower preference than
//! the other sites, and later after each failure.

use crate::Announce;
use crate::decide::AddressContext;
use crate::state::{
    AddressState, PREFERENCE_HEALTHY, PREFERENCE_RETURNING, PREFERENCE_TAKEOVER, PREFERENCE_UNHEALTHY, Phase,
    SiteRecord,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the raised preferences must have been agreed before an unhealthy site withdraws.
pub const MIN_TAKEOVER_TIME: Duration = Duration::from_secs(1);

/// Returns the next state of the address.
pub(crate) fn decide(context: &AddressContext<'_>) -> AddressState {
    let mut next = context.base.clone();
    next.announce = Announce::Many;
    // These fields are used by `One` only.
    (next.holder, next.last, next.next, next.pinned) = (None, None, None, None);
    next.unheard.clear();
    next.all_stay = None;
    let sites: Vec<&str> = context.sites.iter().map(|(site, _)| *site).collect();
    let all_withdrawn = sites.iter().all(|site| next.withdrawn.contains_key(*site));
    let is_withdrawn = |site: &str| !all_withdrawn && context.base.withdrawn.contains_key(site);
    let allowed: Vec<&str> = sites.iter().copied().filter(|site| !is_withdrawn(site)).collect();
    let any_healthy = allowed.iter().any(|site| context.is_healthy(site));

    let mut phases: BTreeMap<&str, Phase> = BTreeMap::new();
    for site in &sites {
        let phase = if is_withdrawn(site) {
            next_withdrawn_phase(context, site)
        } else {
            next_phase(context, site, any_healthy)
        };
        phases.insert(site, phase);
    }
    if !any_healthy {
        next.all_stay = Some("no site that is in touch is well".into());
        for site in &allowed {
            if phases[site] == Phase::Away {
                phases.insert(site, Phase::Worse);
            }
        }
    }
    if all_withdrawn {
        next.all_stay = Some("every site is withdrawn by order".into());
    }
    keep_minimum(context, &allowed, &mut phases);
    return_if_none_healthy(context, &allowed, &mut phases);

    let any_unhealthy = phases.values().any(|phase| matches!(phase, Phase::Worse | Phase::Away));
    let preference = |site: &str, phase: Phase| match phase {
        Phase::Away => None,
        _ if next.all_stay.is_some() && !is_withdrawn(site) => Some(PREFERENCE_HEALTHY),
        Phase::Well if any_unhealthy && context.is_healthy(site) => Some(PREFERENCE_TAKEOVER),
        Phase::Well => Some(PREFERENCE_HEALTHY),
        Phase::Returning => Some(PREFERENCE_RETURNING),
        Phase::Worse => Some(PREFERENCE_UNHEALTHY),
    };
    let announcing =
        phases.iter().filter_map(|(site, phase)| Some(((*site).to_owned(), preference(site, *phase)?)));
    next.announcing = announcing.collect();
    let record = |phase: &Phase| SiteRecord { phase: *phase, ..SiteRecord::default() };
    next.sites = phases.iter().map(|(site, phase)| ((*site).to_owned(), record(phase))).collect();
    next
}

/// Returns the agreed phase of a site. Sites added later start as `Returning`, the initial ones as `Well`.
fn agreed_phase(context: &AddressContext<'_>, site: &str) -> Phase {
    if !context.is_agreed {
        return Phase::Well;
    }
    let is_single = context.base.announce == Announce::One;
    let is_holder = context.base.holder.as_deref() == Some(site);
    match context.base.sites.get(site) {
        Some(record) if !is_single => record.phase,
        _ if is_single && is_holder => Phase::Well,
        _ => Phase::Returning,
    }
}

/// Returns true if another healthy site has had a raised preference for long enough and all its balancers
/// have received it, so this site may withdraw.
fn is_taken_over(context: &AddressContext<'_>, site: &str) -> bool {
    context.sites.iter().any(|(other, region)| {
        *other != site
            && context.is_healthy(other)
            && agreed_phase(context, other) == Phase::Well
            && context
                .history(other)
                .and_then(|history| history.takeover_for(context.now))
                .is_some_and(|time| time >= MIN_TAKEOVER_TIME)
            && !context.behind.contains_key(region)
    })
}

/// Returns the next phase of a site withdrawn by an operator.
fn next_withdrawn_phase(context: &AddressContext<'_>, site: &str) -> Phase {
    let phase = agreed_phase(context, site);
    let has_dwelt =
        context.history(site).is_some_and(|history| history.phase_for(context.now) >= MIN_TAKEOVER_TIME);
    let others_announce = context
        .base
        .announcing
        .keys()
        .any(|other| other != site && !context.base.withdrawn.contains_key(other));
    match phase {
        Phase::Away => Phase::Away,
        Phase::Worse if has_dwelt && others_announce => Phase::Away,
        _ => Phase::Worse,
    }
}

/// Returns the next phase of a site from its health.
fn next_phase(context: &AddressContext<'_>, site: &str, any_healthy: bool) -> Phase {
    let phase = agreed_phase(context, site);
    // A phase that has not been agreed yet has no duration.
    let is_recorded = context.base.announce == Announce::Many && context.base.sites.contains_key(site);
    let Some(history) = context.history(site).filter(|_| is_recorded) else { return phase };
    let unhealthy_for = history.unhealthy_for(context.now).filter(|_| any_healthy);
    let unhealthy_at_least =
        |time: Duration| unhealthy_for.is_some_and(|unhealthy_for| unhealthy_for >= time);
    let withdraw_after = context.address.withdraw_after;
    match phase {
        Phase::Well | Phase::Returning if unhealthy_at_least(withdraw_after / 2) => Phase::Worse,
        Phase::Returning
            if !history.is_unhealthy && history.phase_for(context.now) >= context.address.return_after =>
        {
            Phase::Well
        }
        Phase::Worse if history.may_return(context.address, context.now) => Phase::Well,
        Phase::Worse if unhealthy_at_least(withdraw_after) && is_taken_over(context, site) => Phase::Away,
        Phase::Away if history.may_return(context.address, context.now) => Phase::Returning,
        phase => phase,
    }
}

/// Keeps at least `keep_at_least` sites announcing even if they are unhealthy. Healthy sites are chosen
/// first, then sites that still announce, then the others in order of preference.
fn keep_minimum<'a>(
    context: &AddressContext<'_>,
    allowed: &[&'a str],
    phases: &mut BTreeMap<&'a str, Phase>,
) {
    let minimum = context.address.keep_at_least.max(1).min(allowed.len());
    let mut withdrawn: Vec<&'a str> =
        allowed.iter().copied().filter(|site| phases[site] == Phase::Away).collect();
    let missing = minimum.saturating_sub(allowed.len() - withdrawn.len());
    withdrawn.sort_by_key(|site| (!context.is_healthy(site), agreed_phase(context, site) == Phase::Away));
    phases.extend(withdrawn.into_iter().take(missing).map(|site| (site, Phase::Worse)));
}

/// Lets healthy withdrawn sites return at once if no announcing site is healthy.
fn return_if_none_healthy<'a>(
    context: &AddressContext<'_>,
    allowed: &[&'a str],
    phases: &mut BTreeMap<&'a str, Phase>,
) {
    if allowed.iter().any(|site| phases[site] != Phase::Away && context.is_healthy(site)) {
        return;
    }
    for &site in allowed {
        if phases[site] == Phase::Away && context.is_healthy(site) {
            phases.insert(site, Phase::Returning);
        }
    }
}
