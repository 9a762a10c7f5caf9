/// A generator of operation ids that are unique to one process.
#[derive(Debug, Clone)]
pub struct OperationIds {
    prefix: String,
    count: u64,
}

impl OperationIds {
    /// Creates a generator from the writer's name and a random value, which keeps
    /// the ids of a restarted process distinct from those of its previous run.
    #[must_use]
    pub fn new(writer: &str, random: u64) -> Self {
        Self { prefix: format!("{writer}-{random:016x}"), count: 0 }
    }

    /// Returns whether an id is one of this generator.
    pub(crate) fn contains(&self, id: &str) -> bool {
        id.strip_prefix(&self.prefix).is_some_and(|rest| rest.starts_with('-'))
    }

    /// Returns an id that has not been returned before.
    pub fn next_id(&mut self) -> String {
        self.count += 1;
        format!("{}-{}", self.prefix, self.count)
    }
}
