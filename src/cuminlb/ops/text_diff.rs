//! The difference between two texts, line by line.

use std::fmt;

/// The number of line pairs up to which the shortest difference is looked for.
const MAX_PAIRS: usize = 4_000_000;

/// The number of unchanged lines that are shown around a change.
const CONTEXT_LINES: usize = 2;

/// One line of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiffLine<'a> {
    /// The line is in both texts.
    Same(&'a str),
    /// The line is in the old text only.
    Removed(&'a str),
    /// The line is in the new text only.
    Added(&'a str),
}

impl DiffLine<'_> {
    /// Tells whether the line is in both texts.
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

/// Returns the lines of both texts, each marked with the text that it is in.
pub fn diff_lines<'a>(old: &'a str, new: &'a str) -> Vec<DiffLine<'a>> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let same_start = common_prefix(old.iter(), new.iter());
    let (old_rest, new_rest) = (&old[same_start..], &new[same_start..]);
    let same_end = common_prefix(old_rest.iter().rev(), new_rest.iter().rev());
    let old_middle = &old_rest[..old_rest.len() - same_end];
    let new_middle = &new_rest[..new_rest.len() - same_end];
    let start = old[..same_start].iter().map(|line| DiffLine::Same(line));
    let end = old_rest[old_middle.len()..]
        .iter()
        .map(|line| DiffLine::Same(line));
    start
        .chain(diff_middle(old_middle, new_middle))
        .chain(end)
        .collect()
}

/// Returns the changed lines and the lines around them; `None` stands for lines left out.
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

fn common_prefix<'a>(
    old: impl Iterator<Item = &'a &'a str>,
    new: impl Iterator<Item = &'a &'a str>,
) -> usize {
    old.zip(new).take_while(|(old, new)| old == new).count()
}

/// Returns the shortest difference, or for long texts all old lines and then all new ones.
fn diff_middle<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<DiffLine<'a>> {
    if old.len().saturating_mul(new.len()) > MAX_PAIRS {
        let removed = old.iter().map(|line| DiffLine::Removed(line));
        let added = new.iter().map(|line| DiffLine::Added(line));
        return removed.chain(added).collect();
    }
    let common = common_lengths(old, new);
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::with_capacity(old.len() + new.len());
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push(DiffLine::Same(old[i]));
            i += 1;
            j += 1;
        } else if j == new.len() || (i < old.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push(DiffLine::Removed(old[i]));
            i += 1;
        } else {
            lines.push(DiffLine::Added(new[j]));
            j += 1;
        }
    }
    lines
}

/// Returns the length of the longest common subsequence of each pair of ends of the two texts.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i][j] = if old[i] == new[j] {
                common[i + 1][j + 1] + 1
            } else {
                common[i + 1][j].max(common[i][j + 1])
            };
        }
    }
    common
}
