//! Whether the links of a node let it lead.

/// Whether the links of a node to instances let it lead, from the best to the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeadFitness {
    /// It reaches all instances, or all but a few.
    Fit,
    /// It does not reach several instances. Another node should lead if there is one.
    Impaired,
    /// It reaches no instance, and must not lead.
    Unfit,
}
