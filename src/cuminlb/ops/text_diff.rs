//! A line-based diff of two texts, with which `cuminctl` shows the effect of a dry run.

use std::fmt;

/// The maximum number of line pairs (old lines times new lines) for which the shortest diff is
/// computed; larger inputs get a diff that replaces all lines between the common ends.
const MAX_LINE_PAIRS: usize = 4_000_000;

/// The number of unchanged lines that are shown on each side of a change.
const CONTEXT_LINES: usize = 2;

/// One line of a diff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiffLine<'a> {
    /// The line is in both texts.
    Same(&'a str),
    /// The line is only in the old text.
    Removed(&'a str),
    /// The line is only in the new text.
    Added(&'a str),
}

impl DiffLine<'_> {
    /// Returns whether the line is in both texts.
    pub const fn is_same(&self) -> bool {
        matches!(self, Self::Same(_))
    }
}

impl fmt::Display for DiffLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Same(line) => write!(f, "  {line}"),
            Self::Removed(line) => write!(f, "- {line}"),
            Self::Added(line) => write!(f, "+ {line}"),
        }
    }
}

/// Returns the diff of two texts, including their unchanged lines.
pub fn diff_lines<'a>(old: &'a str, new: &'a str) -> Vec<DiffLine<'a>> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let prefix_len = common_prefix_len(old.iter(), new.iter());
    let (old_rest, new_rest) = (&old[prefix_len..], &new[prefix_len..]);
    let suffix_len = common_prefix_len(old_rest.iter().rev(), new_rest.iter().rev());
    let old_middle = &old_rest[..old_rest.len() - suffix_len];
    let new_middle = &new_rest[..new_rest.len() - suffix_len];
    let start = old[..prefix_len].iter().map(|line| DiffLine::Same(line));
    let end = old_rest[old_middle.len()..]
        .iter()
        .map(|line| DiffLine::Same(line));
    start
        .chain(diff_middle(old_middle, new_middle))
        .chain(end)
        .collect()
}

/// Returns the changed lines with the lines around them; `None` stands for omitted lines.
pub fn with_context<'a>(lines: &[DiffLine<'a>]) -> Vec<Option<DiffLine<'a>>> {
    let is_near_change = |index: usize| {
        let first = index.saturating_sub(CONTEXT_LINES);
        let last = (index + CONTEXT_LINES + 1).min(lines.len());
        lines[first..last].iter().any(|line| !line.is_same())
    };
    let mut shown = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if is_near_change(index) {
            shown.push(Some(*line));
        } else if shown.last().is_some_and(Option::is_some) {
            shown.push(None);
        }
    }
    shown
}

/// Returns the number of equal lines at the start of both sequences.
fn common_prefix_len<'a>(
    old: impl Iterator<Item = &'a &'a str>,
    new: impl Iterator<Item = &'a &'a str>,
) -> usize {
    old.zip(new).take_while(|(old, new)| old == new).count()
}

/// Returns the shortest diff, or for more than [`MAX_LINE_PAIRS`] line pairs all old lines followed
/// by all new ones.
fn diff_middle<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<DiffLine<'a>> {
    if old.len().saturating_mul(new.len()) > MAX_LINE_PAIRS {
        let removed = old.iter().map(|line| DiffLine::Removed(line));
        let added = new.iter().map(|line| DiffLine::Added(line));
        return removed.chain(added).collect();
    }
    let lengths = lcs_lengths(old, new);
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::with_capacity(old.len() + new.len());
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push(DiffLine::Same(old[i]));
            i += 1;
            j += 1;
        } else if j == new.len() || (i < old.len() && lengths[i + 1][j] >= lengths[i][j + 1]) {
            lines.push(DiffLine::Removed(old[i]));
            i += 1;
        } else {
            lines.push(DiffLine::Added(new[j]));
            j += 1;
        }
    }
    lines
}

/// Returns a table whose entry `[i][j]` is the length of the longest common subsequence of
/// `old[i..]` and `new[j..]`.
fn lcs_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    lengths
}
