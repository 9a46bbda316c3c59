//! The limits of addresses and prefixes.

use super::ConnectionAdmission;
use crate::connection::Connection;
use crate::policy::AdmissionPolicy;
use crate::rejection::RejectionReason;
use std::time::Duration;

impl ConnectionAdmission {
    /// Applies the limits of an address and its prefix to one more connection. At a limit, the oldest unproven connection of the
    /// same source is to be evicted.
    pub(super) fn apply_source_limits(
        &mut self,
        now: Duration,
        address: u32,
        prefix: u32,
    ) -> Result<Option<u32>, RejectionReason> {
        self.take_source_tokens(now, address, prefix)?;
        let AdmissionPolicy { per_address, prefix_times, .. } = self.policy;
        let max_unproven = self.policy.max_unproven(self.capacity);
        let prefix_times = prefix_times.unwrap_or(f64::INFINITY);
        let of_prefix = |limit: u32| (f64::from(limit) * prefix_times) as u32;
        let mut candidate = None;
        for (source, max_unproven, max_open) in [
            (self.table.addresses.get_mut(address), max_unproven, per_address),
            (self.table.prefixes.get_mut(prefix), of_prefix(max_unproven), per_address.map(of_prefix)),
        ] {
            let is_full = max_open.is_some_and(|max| source.open >= max);
            if is_full || source.unproven.len() >= max_unproven as usize {
                // So a client behind a shared address that sends its request at once still gets through.
                candidate = candidate.or(source.unproven.first());
                if candidate.is_none() {
                    return Err(RejectionReason::Share);
                }
            }
        }
        Ok(candidate)
    }

    /// Takes a token of the rate from an address and its prefix.
    fn take_source_tokens(
        &mut self,
        now: Duration,
        address: u32,
        prefix: u32,
    ) -> Result<(), RejectionReason> {
        let AdmissionPolicy { rate, burst, prefix_times, .. } = self.policy;
        let Some(rate) = rate else { return Ok(()) };
        let now_seconds = now.as_secs_f64();
        if !self.table.addresses.get_mut(address).take_token(now_seconds, rate, burst) {
            return Err(RejectionReason::Rate);
        }
        let Some(times) = prefix_times else { return Ok(()) };
        let prefix = self.table.prefixes.get_mut(prefix);
        if !prefix.take_token(now_seconds, rate * times, burst * times) {
            return Err(RejectionReason::Rate);
        }
        Ok(())
    }

    /// Returns the tokens that a connection took of its address and prefix.
    pub(super) fn return_source_tokens(&mut self, slot: u32) {
        let Connection { address, prefix, .. } = *self.table.get(slot);
        let AdmissionPolicy { burst, prefix_times, .. } = self.policy;
        self.table.addresses.get_mut(address).return_token(burst);
        self.table.prefixes.get_mut(prefix).return_token(burst * prefix_times.unwrap_or(1.0));
    }
}
