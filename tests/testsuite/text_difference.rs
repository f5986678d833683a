//! Property test of the line diff that a dry run prints.

use cuminlb::ops::{DiffLine, diff_lines, with_context};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_204;

fn text() -> impl Strategy<Value = String> {
    prop::collection::vec("[abc]{0,1}", 0..24).prop_map(|lines| lines.join("\n"))
}

fn line_text<'a>(line: &DiffLine<'a>) -> &'a str {
    match line {
        DiffLine::Same(text) | DiffLine::Removed(text) | DiffLine::Added(text) => text,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn diff_contains_both_texts_and_shows_every_change(old in text(), new in text()) {
        let lines = diff_lines(&old, &new);
        let without = |is_excluded: fn(&DiffLine<'_>) -> bool| -> Vec<&str> {
            lines.iter().filter(|line| !is_excluded(line)).map(line_text).collect()
        };
        let old_lines: Vec<&str> = old.lines().collect();
        let new_lines: Vec<&str> = new.lines().collect();
        prop_assert_eq!(without(|line| matches!(line, DiffLine::Added(_))), old_lines);
        prop_assert_eq!(without(|line| matches!(line, DiffLine::Removed(_))), new_lines);
        prop_assert_eq!(lines.iter().all(DiffLine::is_same), old.lines().eq(new.lines()));
        let shown: Vec<_> = with_context(&lines)
            .into_iter()
            .flatten()
            .filter(|line| !line.is_same())
            .collect();
        let changed: Vec<_> = lines.iter().filter(|line| !line.is_same()).copied().collect();
        prop_assert_eq!(shown, changed);
    }
}
