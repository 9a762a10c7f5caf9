/// A source of operation ids that are unique to one process.
#[derive(Debug, Clone)]
pub struct Operations {
    prefix: String,
    count: u64,
}

impl Operations {
    /// Makes a source from the writer's name and a random value, which keeps
    /// the ids of a restarted process apart from those of its former run.
    #[must_use]
    pub fn new(writer: &str, random: u64) -> Self {
        Self { prefix: format!("{writer}-{random:016x}"), count: 0 }
    }

    /// Returns an id that was not returned before.
    pub fn next_id(&mut self) -> String {
        self.count += 1;
        format!("{}-{}", self.prefix, self.count)
    }
}
