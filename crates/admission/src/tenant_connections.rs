//! How many connections each tenant has, and its share of what all tenants are guaranteed.

/// The counts of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct TenantCounts {
    /// Its share of the guarantees, 0 to 1.
    share: f64,
    /// Its open connections.
    open: u32,
    /// Those of them whose clients are known.
    known: u32,
}

/// The counts of all tenants, by their numbers. A number beyond the table is counted nowhere.
#[derive(Clone, Debug, Default)]
pub struct TenantConnections(Vec<TenantCounts>);

impl TenantConnections {
    /// Sets what each tenant is guaranteed, in any unit. Tenants beyond the list are guaranteed nothing.
    pub fn set_guarantees(&mut self, guarantees: &[f64]) {
        let total: f64 = guarantees.iter().sum();
        let tenants = guarantees.len().max(self.0.len());
        self.0.resize(tenants, TenantCounts::default());
        for (number, tenant) in self.0.iter_mut().enumerate() {
            tenant.share = match guarantees.get(number) {
                Some(guarantee) if total > 0.0 => guarantee / total,
                Some(_) => 1.0 / guarantees.len() as f64,
                None => 0.0,
            };
        }
    }

    fn of(&self, tenant: Option<u32>) -> Option<&TenantCounts> {
        self.0.get(tenant? as usize)
    }

    fn of_mut(&mut self, tenant: Option<u32>) -> Option<&mut TenantCounts> {
        self.0.get_mut(tenant? as usize)
    }

    /// The known connections of a tenant; `None` if it is not counted.
    pub fn known(&self, tenant: Option<u32>) -> Option<u32> {
        self.of(tenant).map(|counts| counts.known)
    }

    /// The open connections of a tenant and its share; `None` if it is not counted.
    pub fn open_and_share(&self, tenant: Option<u32>) -> Option<(u32, f64)> {
        self.of(tenant).map(|counts| (counts.open, counts.share))
    }

    /// Counts a connection of a tenant.
    pub fn add(&mut self, tenant: Option<u32>, is_known: bool) {
        if let Some(counts) = self.of_mut(tenant) {
            counts.open += 1;
            counts.known += u32::from(is_known);
        }
    }

    /// Takes a connection of a tenant out of the counts.
    pub fn remove(&mut self, tenant: Option<u32>, is_known: bool) {
        if let Some(counts) = self.of_mut(tenant) {
            counts.open -= 1;
            counts.known -= u32::from(is_known);
        }
    }

    /// Counts an open connection of a tenant among its known ones.
    pub fn make_known(&mut self, tenant: Option<u32>) {
        if let Some(counts) = self.of_mut(tenant) {
            counts.known += 1;
        }
    }
}
