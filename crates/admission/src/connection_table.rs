//! The connections that are open, with all lists and counts that they are in.

use crate::connection::{Connection, ConnectionLinks, ConnectionState, EVICTION_LISTS, IDLE_LIST, LinkKind};
use crate::decision::ConnectionId;
use crate::linked_list::List;
use crate::source_table::SourceTable;
use crate::tenant_connections::TenantConnections;
use std::time::Duration;

/// The lists of connections that may be evicted, by [`ConnectionState::eviction_list`].
pub type EvictionLists = [List; EVICTION_LISTS];

/// The open connections.
pub struct ConnectionTable {
    connections: Vec<Connection>,
    free_slots: Vec<u32>,
    /// Those of unknown clients, then those of known ones.
    eviction_lists: [EvictionLists; 2],
    /// The numbers of open connections of unknown and of known clients.
    open: [usize; 2],
    /// The number of connections that were evicted and are not closed yet.
    evicted: usize,
    /// The addresses of clients.
    pub addresses: SourceTable,
    /// The prefixes of clients.
    pub prefixes: SourceTable,
    /// The counts of each tenant.
    pub tenants: TenantConnections,
}

impl ConnectionTable {
    /// An empty table, which remembers this many addresses and prefixes that have no connection.
    pub fn new(remembered: usize, seed: u64) -> Self {
        /// Keeps the two tables from having the same seed.
        const PREFIX_SEED: u64 = 0x9e37_79b9;
        Self {
            connections: Vec::new(),
            free_slots: Vec::new(),
            eviction_lists: Default::default(),
            open: [0; 2],
            evicted: 0,
            addresses: SourceTable::new(remembered, seed),
            prefixes: SourceTable::new(remembered, seed ^ PREFIX_SEED),
            tenants: TenantConnections::default(),
        }
    }

    /// The number of connections that were admitted and neither evicted nor closed.
    pub fn open(&self) -> usize {
        self.open[0] + self.open[1]
    }

    /// The number of open connections of unknown clients.
    pub fn open_unknown(&self) -> usize {
        self.open[0]
    }

    /// The number of open connections of known clients.
    pub fn open_known(&self) -> usize {
        self.open[1]
    }

    /// The number of connections that were evicted and are not closed yet.
    pub fn evicted(&self) -> usize {
        self.evicted
    }

    /// The number of entries of all tables.
    pub fn entries(&self) -> usize {
        self.connections.len() + self.addresses.len() + self.prefixes.len()
    }

    /// The lists of connections that may be evicted: of unknown clients, then of known ones.
    pub fn eviction_lists(&self) -> &[EvictionLists; 2] {
        &self.eviction_lists
    }

    /// The idle connections: of unknown clients, then of known ones.
    pub fn idle(&self) -> [List; 2] {
        [self.eviction_lists[0][IDLE_LIST], self.eviction_lists[1][IDLE_LIST]]
    }

    /// The connection in a slot.
    pub fn get(&self, slot: u32) -> &Connection {
        &self.connections[slot as usize]
    }

    /// The slot of an open connection; `None` if it was evicted or is closed.
    pub fn slot(&self, id: ConnectionId) -> Option<u32> {
        let connection = self.connections.get(id.slot as usize)?;
        let is_closed = matches!(connection.state, ConnectionState::Free | ConnectionState::Evicted);
        (connection.generation == id.generation && !is_closed).then_some(id.slot)
    }

    /// Adds a connection, on which nothing has been received yet.
    pub fn insert(&mut self, now: Duration, connection: Connection) -> ConnectionId {
        self.open[usize::from(connection.is_known)] += 1;
        self.addresses.add_connection(connection.address);
        self.addresses.get_mut(connection.address).known += u32::from(connection.is_known);
        self.prefixes.add_connection(connection.prefix);
        let is_exempt = connection.is_exempt;
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                let generation = self.connections[slot as usize].generation;
                self.connections[slot as usize] = Connection { generation, ..connection };
                slot
            }
            None => {
                self.connections.push(connection);
                (self.connections.len() - 1) as u32
            }
        };
        if !is_exempt {
            self.add_unproven(slot);
        }
        self.set_state(now, slot, ConnectionState::NoData);
        ConnectionId { slot, generation: self.connections[slot as usize].generation }
    }

    /// Moves a connection to another state and its list.
    pub fn set_state(&mut self, now: Duration, slot: u32, state: ConnectionState) {
        let connection = &mut self.connections[slot as usize];
        let previous = std::mem::replace(&mut connection.state, state);
        connection.since = now;
        let lists = &mut self.eviction_lists[usize::from(connection.is_known)];
        let mut links = ConnectionLinks { connections: &mut self.connections, kind: LinkKind::State };
        if let Some(list) = previous.eviction_list() {
            lists[list].remove(&mut links, slot);
        }
        if let Some(list) = state.eviction_list() {
            lists[list].push(&mut links, slot);
        }
    }

    fn add_unproven(&mut self, slot: u32) {
        let Connection { address, prefix, .. } = self.connections[slot as usize];
        let mut links = ConnectionLinks { connections: &mut self.connections, kind: LinkKind::Address };
        self.addresses.get_mut(address).unproven.push(&mut links, slot);
        links.kind = LinkKind::Prefix;
        self.prefixes.get_mut(prefix).unproven.push(&mut links, slot);
    }

    fn remove_unproven(&mut self, slot: u32) {
        let Connection { address, prefix, .. } = self.connections[slot as usize];
        let mut links = ConnectionLinks { connections: &mut self.connections, kind: LinkKind::Address };
        self.addresses.get_mut(address).unproven.remove(&mut links, slot);
        links.kind = LinkKind::Prefix;
        self.prefixes.get_mut(prefix).unproven.remove(&mut links, slot);
    }

    /// Notes that a connection has sent a valid request; `true` if it counted as unproven until now.
    pub fn prove(&mut self, slot: u32) -> bool {
        let connection = &mut self.connections[slot as usize];
        if std::mem::replace(&mut connection.is_proven, true) || connection.is_exempt {
            return false;
        }
        self.remove_unproven(slot);
        true
    }

    /// Counts a connection for the tenant of its last request.
    pub fn set_tenant(&mut self, slot: u32, tenant: Option<u32>) {
        let connection = &mut self.connections[slot as usize];
        if connection.tenant != tenant {
            self.tenants.remove(connection.tenant, connection.is_known);
            connection.tenant = tenant;
            self.tenants.add(tenant, connection.is_known);
        }
    }

    /// Counts a connection among those of known clients. It has a request in flight, so it is in no list of its state.
    pub fn make_known(&mut self, slot: u32) {
        let connection = &mut self.connections[slot as usize];
        connection.is_known = true;
        self.open[0] -= 1;
        self.open[1] += 1;
        self.addresses.get_mut(connection.address).known += 1;
        self.tenants.make_known(connection.tenant);
    }

    /// Takes a connection out of all lists and counts.
    fn release(&mut self, slot: u32) {
        self.set_state(Duration::ZERO, slot, ConnectionState::Evicted);
        let Connection { is_known, is_proven, is_exempt, tenant, address, prefix, .. } =
            self.connections[slot as usize];
        self.tenants.remove(tenant, is_known);
        if !is_proven && !is_exempt {
            self.remove_unproven(slot);
        }
        self.open[usize::from(is_known)] -= 1;
        self.addresses.get_mut(address).known -= u32::from(is_known);
        self.addresses.remove_connection(address);
        self.prefixes.remove_connection(prefix);
    }

    /// Evicts an open connection, which the embedder has to close.
    pub fn evict(&mut self, slot: u32) -> ConnectionId {
        self.release(slot);
        self.evicted += 1;
        ConnectionId { slot, generation: self.connections[slot as usize].generation }
    }

    /// Removes a connection that has closed, whether it was evicted or not.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id.slot as usize) else { return };
        if connection.generation != id.generation {
            return;
        }
        match connection.state {
            ConnectionState::Free => return,
            ConnectionState::Evicted => self.evicted -= 1,
            _ => self.release(id.slot),
        }
        let connection = &mut self.connections[id.slot as usize];
        connection.state = ConnectionState::Free;
        connection.generation = connection.generation.wrapping_add(1);
        self.free_slots.push(id.slot);
    }
}
