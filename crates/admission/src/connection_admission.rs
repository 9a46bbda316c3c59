//! Decides on connections at each of their events; the rules stand on the page of the crate.

mod eviction;
mod source_limits;

use crate::address::{AddressKey, NetworkSet};
use crate::connection::{Connection, ConnectionState};
use crate::connection_table::ConnectionTable;
use crate::decision::{AdmissionDecision, ConnectionId, ResponseDecision};
use crate::policy::AdmissionPolicy;
use crate::rejection::{Rejection, RejectionLimiter, RejectionReason};
use std::net::IpAddr;
use std::time::Duration;

/// Connections that were evicted and may not be closed yet, at the most: each still holds a descriptor.
const MAX_PENDING_EVICTIONS: usize = 4;
/// The share of the capacity in use from which on connections of tenants over their share close.
const CROWDED_SHARE: f64 = 0.75;
/// Connections that a tenant may have in any case.
const MIN_TENANT_CONNECTIONS: f64 = 4.0;
/// Bytes that are received within this time of one another were sent at one moment.
const SAME_MOMENT: Duration = Duration::from_millis(20);
/// Idle connections that are kept alive in any case.
const MIN_IDLE_CONNECTIONS: usize = 4;

/// Admission of the connections of clients to one process.
pub struct ConnectionAdmission {
    policy: AdmissionPolicy,
    /// Networks whose clients are known, beside those of the policy.
    known_networks: NetworkSet,
    /// The connections that there may be.
    capacity: usize,
    table: ConnectionTable,
    rejections: RejectionLimiter,
}

impl ConnectionAdmission {
    /// Admission of `capacity` connections, at least one. `guarantees`: what each tenant is guaranteed, in any unit; `seed` keeps
    /// clients from choosing their places in hash tables.
    pub fn new(policy: AdmissionPolicy, capacity: usize, guarantees: &[f64], seed: u64) -> Self {
        let mut admission = Self {
            capacity: capacity.max(1),
            table: ConnectionTable::new(policy.remembered, seed),
            rejections: RejectionLimiter::new(),
            known_networks: NetworkSet::default(),
            policy,
        };
        admission.set_tenant_guarantees(guarantees);
        admission
    }

    /// Sets what each tenant is guaranteed. Tenants keep their numbers, and there are never fewer of them than before.
    pub fn set_tenant_guarantees(&mut self, guarantees: &[f64]) {
        self.table.tenants.set_guarantees(guarantees);
    }

    /// Sets the networks whose clients are known beside those of the policy. Connections that are open stay what they are.
    pub fn set_known_networks(&mut self, networks: NetworkSet) {
        self.known_networks = networks;
    }

    /// Sets the number of connections that there may be, at least one. [`Self::evict_excess`] then names those that have to close.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// The number of connections that were admitted and neither evicted nor closed.
    pub fn open_connections(&self) -> usize {
        self.table.open()
    }

    /// The number of connections, addresses and prefixes in memory, which is bounded.
    pub fn state_entries(&self) -> usize {
        self.table.entries()
    }

    /// Evicts a connection if there are more than the capacity; `None` if there are not, or none can be evicted.
    pub fn evict_excess(&mut self, now: Duration) -> Option<ConnectionId> {
        if self.is_over_capacity() { self.evict_one(now) } else { None }
    }

    /// Evicts the connection with which least is lost; `None` if all have requests in flight.
    pub fn evict_one(&mut self, now: Duration) -> Option<ConnectionId> {
        self.any_eviction_candidate(now).map(|slot| self.table.evict(slot))
    }

    /// Decides on a connection that a client has opened.
    pub fn admit(&mut self, now: Duration, address: IpAddr) -> AdmissionDecision {
        let connection = self.new_connection(now, address);
        match self.make_room(now, &connection) {
            Ok(evicted) => {
                let evicted = evicted.map(|slot| self.table.evict(slot));
                AdmissionDecision::Admitted { id: self.table.insert(now, connection), evicted }
            }
            Err(reason) => AdmissionDecision::Rejected(self.reject(now, reason)),
        }
    }

    fn new_connection(&mut self, now: Duration, client: IpAddr) -> Connection {
        let AdmissionPolicy { burst, prefix_v4, prefix_v6, prefix_times, .. } = self.policy;
        let now_seconds = now.as_secs_f64();
        let key = AddressKey::of_client(client);
        let address = self.table.addresses.find_or_insert(key, now_seconds, burst);
        let key = AddressKey::prefix(client, prefix_v4, prefix_v6);
        let prefix_burst = burst * prefix_times.unwrap_or(1.0);
        let prefix = self.table.prefixes.find_or_insert(key, now_seconds, prefix_burst);
        let is_known =
            self.is_listed(client) && self.table.addresses.get_mut(address).known < self.max_known();
        let is_exempt = is_known || self.policy.fronts.iter().any(|network| network.contains(client));
        Connection {
            generation: 0,
            state: ConnectionState::Free,
            since: now,
            is_known,
            is_proven: false,
            is_exempt,
            tenant: None,
            address,
            prefix,
            links: Default::default(),
        }
    }

    /// Whether the networks of known clients contain this one.
    pub fn is_listed(&self, client: IpAddr) -> bool {
        self.policy.known.iter().any(|network| network.contains(client))
            || self.known_networks.contains(client)
    }

    /// The time within which the first bytes of a connection usually come.
    pub fn prompt(&self) -> Duration {
        self.policy.prompt
    }

    /// Whether so many evicted connections are not closed yet that no other can be evicted.
    pub fn awaits_evictions(&self) -> bool {
        self.table.evicted() >= MAX_PENDING_EVICTIONS
    }

    /// Evicts an unknown client's connection that has been idle for so long that it goes before younger ones; `None` if there is
    /// none.
    pub fn evict_long_idle(&mut self, now: Duration) -> Option<ConnectionId> {
        let [unknown, _] = self.table.idle();
        let is_long_idle = |slot: &u32| now.saturating_sub(self.table.get(*slot).since) > self.policy.spare;
        let slot = unknown.first().filter(is_long_idle).filter(|_| !self.awaits_evictions())?;
        Some(self.table.evict(slot))
    }

    /// Finds room for a new connection: the slot of another one that has to be evicted for it, if there is need.
    fn make_room(&mut self, now: Duration, new: &Connection) -> Result<Option<u32>, RejectionReason> {
        let mut candidate = None;
        if !new.is_exempt {
            candidate = self.apply_source_limits(now, new.address, new.prefix)?;
        }
        if candidate.is_none() && !self.has_room(new.is_known) {
            candidate = Some(self.eviction_candidate_for(now, new.is_known).ok_or(RejectionReason::Full)?);
        }
        if candidate.is_some() && self.awaits_evictions() {
            return Err(RejectionReason::Full);
        }
        Ok(candidate)
    }

    /// Takes note of bytes of a request on a connection that has no request in flight.
    pub fn on_bytes(&mut self, now: Duration, id: ConnectionId) {
        let Some(slot) = self.table.slot(id) else { return };
        let Connection { state, since, .. } = *self.table.get(slot);
        let next = match state {
            ConnectionState::InFlight => return,
            ConnectionState::ReceivingRequest => ConnectionState::ReceivingRequest,
            ConnectionState::PartialRequest if now >= since + SAME_MOMENT => {
                ConnectionState::ReceivingRequest
            }
            // Bytes of the same moment do not show whether more will come.
            ConnectionState::PartialRequest => return,
            _ => ConnectionState::PartialRequest,
        };
        self.table.set_state(now, slot, next);
    }

    /// Takes note of a request that is complete and valid, and in flight from now on. `is_authenticated`: the request itself shows
    /// that its client is known.
    pub fn on_request(
        &mut self,
        now: Duration,
        id: ConnectionId,
        tenant: Option<u32>,
        is_authenticated: bool,
    ) {
        let Some(slot) = self.table.slot(id) else { return };
        self.table.set_state(now, slot, ConnectionState::InFlight);
        if self.table.prove(slot) {
            self.return_source_tokens(slot);
        }
        self.table.set_tenant(slot, tenant);
        if is_authenticated && self.has_known_room(slot) && !self.table.get(slot).is_known {
            self.table.make_known(slot);
        }
    }

    /// Whether the tenant of a connection, or else its address, may have one more known connection.
    fn has_known_room(&mut self, slot: u32) -> bool {
        let Connection { tenant, address, .. } = *self.table.get(slot);
        let known = match self.table.tenants.known(tenant) {
            Some(known) => known,
            None => self.table.addresses.get_mut(address).known,
        };
        known < self.max_known()
    }

    /// Takes note of the response to the request that was in flight.
    pub fn on_response(&mut self, now: Duration, id: ConnectionId) -> ResponseDecision {
        let Some(slot) = self.table.slot(id) else { return ResponseDecision::default() };
        if !self.table.get(slot).is_proven {
            return self.on_health_check_response(now, id);
        }
        self.table.set_state(now, slot, ConnectionState::Idle);
        ResponseDecision {
            should_close: self.is_tenant_over_share(slot) || self.is_over_capacity(),
            evicted: self.evict_spare_idle(),
        }
    }

    /// Takes note of the response to something that was no valid request: a health check, or what could not be read.
    pub fn on_health_check_response(&mut self, now: Duration, id: ConnectionId) -> ResponseDecision {
        let Some(slot) = self.table.slot(id) else { return ResponseDecision::default() };
        let is_proven = self.table.get(slot).is_proven;
        let state = if is_proven { ConnectionState::Idle } else { ConnectionState::HealthChecksOnly };
        self.table.set_state(now, slot, state);
        ResponseDecision { should_close: self.is_over_capacity(), evicted: None }
    }

    /// Takes note that a connection has closed.
    pub fn on_close(&mut self, id: ConnectionId) {
        self.table.remove(id);
    }

    /// Rejects a connection without a decision on it, as where there is no descriptor for it.
    pub fn reject(&mut self, now: Duration, reason: RejectionReason) -> Rejection {
        self.rejections.reject(now, reason, self.policy.retry_after)
    }

    fn reserved(&self) -> usize {
        self.policy.reserved(self.capacity)
    }

    /// The known connections that one address, or one tenant, may have.
    fn max_known(&self) -> u32 {
        (self.reserved() as f64 * self.policy.known_most).ceil() as u32
    }

    /// Whether there is room for one more connection without evicting another.
    fn has_room(&self, is_known: bool) -> bool {
        let known = self.table.open_known();
        // What known clients do not use of their reserve stays free for them.
        let taken = if is_known { known } else { known.max(self.reserved()) };
        self.table.open_unknown() + taken < self.capacity
    }

    fn is_over_capacity(&self) -> bool {
        self.table.open() > self.capacity
    }

    /// Whether the capacity is nearly used up and the unknown client's connection is of a tenant that uses more than its share.
    fn is_tenant_over_share(&self, slot: u32) -> bool {
        let Connection { tenant, is_known, .. } = *self.table.get(slot);
        let capacity = self.capacity as f64;
        let is_crowded = self.table.open() as f64 >= CROWDED_SHARE * capacity;
        let is_over_share = self.table.tenants.open_and_share(tenant).is_some_and(|(open, share)| {
            let max = self.policy.tenant_times * share * capacity;
            f64::from(open) > max.max(MIN_TENANT_CONNECTIONS)
        });
        is_crowded && is_over_share && !is_known
    }
}
