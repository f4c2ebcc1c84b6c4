//! How the memory of the process is divided between what it buffers for clients and for cache nodes.

/// The program itself, and a list of cache nodes of usual length.
const PROCESS_BYTES: usize = 4 << 20;
/// A connection of any kind beside what it takes from a budget: its state, the arguments of a command before the value, the
/// beginning of a reply, and a command that is being written.
const DESCRIPTOR_BYTES: usize = 4 << 10;
/// All budgets together may have at most five eighths of the memory.
const MAX_BUDGET_EIGHTHS: usize = 5;
/// The share of values, in eighths of the memory. It holds one value of the greatest length where there are 16 MB.
const VALUE_EIGHTHS: usize = 2;
/// How the other budgets are divided: two thirds are for answers, and one third is for replies.
const REPLY_DIVISOR: usize = 3;

/// The budgets for what is buffered, in bytes. What does not fit into its budget waits unread or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The values of clients' commands.
    pub values: usize,
    /// Answers that clients have not taken, and those to come.
    pub answers: usize,
    /// Replies that have arrived in part from cache nodes.
    pub replies: usize,
}

impl MemoryLimits {
    /// The budgets of a process that may have this much memory and this many descriptors.
    pub fn new(memory_mb: u64, descriptors: usize) -> Self {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        let eighth = memory / 8;
        let unbudgeted = descriptors.saturating_mul(DESCRIPTOR_BYTES).saturating_add(PROCESS_BYTES);
        let budgets = memory.saturating_sub(unbudgeted).min(MAX_BUDGET_EIGHTHS * eighth);
        // Where memory is very short, there is a little for each all the same.
        let others = budgets.saturating_sub(VALUE_EIGHTHS * eighth).max(eighth);
        let replies = others / REPLY_DIVISOR;
        MemoryLimits { values: VALUE_EIGHTHS * eighth, answers: others - replies, replies }
    }

    /// The bound of all that is in these budgets, in bytes.
    pub fn total(&self) -> usize {
        self.values + self.answers + self.replies
    }
}
