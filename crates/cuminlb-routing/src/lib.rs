//! Decisions that a request meets: admission, choice of group, slots and retries.
