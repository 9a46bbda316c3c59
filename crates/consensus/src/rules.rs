//! The rules that follow from a version's text and the member's own file.

use crate::error::RulesError;
use maplehook_config::Proxy;
use std::collections::VecDeque;
use std::sync::Arc;

/// The most texts whose rules are cached: two of a transition, and one that is validated.
const MAX_CACHED_RULES: usize = 3;

/// Parses the rules of a member's file with this shared text in place of its own.
pub(crate) fn parse_rules(file: &str, shared_text: &str) -> Result<Arc<Proxy>, RulesError> {
    let whole_file = maplehook_config::with_shared(file, shared_text)?;
    let operator = maplehook_config::parse(&whole_file)?;
    operator.proxy.map(Arc::new).ok_or(RulesError::NoRules)
}

/// The rules of the latest texts by their digests, so that a long text is not parsed again in each phase.
#[derive(Default)]
pub(crate) struct RulesCache(VecDeque<(String, Arc<Proxy>)>);

impl RulesCache {
    /// Returns the rules of a text, from the cache or by parsing it.
    pub(crate) fn rules_of(
        &mut self,
        file: &str,
        text: &str,
        digest: &str,
    ) -> Result<Arc<Proxy>, RulesError> {
        if let Some((_, rules)) = self.0.iter().find(|(cached, _)| cached == digest) {
            return Ok(Arc::clone(rules));
        }
        let rules = parse_rules(file, text)?;
        self.0.push_back((digest.to_owned(), Arc::clone(&rules)));
        if self.0.len() > MAX_CACHED_RULES {
            self.0.pop_front();
        }
        Ok(rules)
    }
}

/// Checks that rules can replace the present ones in this process.
pub(crate) fn check_replaceable(
    rules: &Proxy,
    present: &Proxy,
    file_rules: &Proxy,
) -> Result<(), RulesError> {
    if rules.tenants.first() != present.tenants.first() {
        return Err(RulesError::FirstTenantChanged);
    }
    if file_rules.eureka.is_some() && rules.upstreams != file_rules.upstreams {
        return Err(RulesError::UpstreamsChanged);
    }
    Ok(())
}
