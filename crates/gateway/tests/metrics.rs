//! The page for operators lists the metrics that exist.

use std::{collections::BTreeSet, fs, path::Path};

fn names(text: &str, quote: char) -> BTreeSet<String> {
    let is_name = |it: char| it.is_ascii_lowercase() || it == '_';
    let quoted = format!("{quote}shallotlead_");
    let starts = text.match_indices(&quoted).map(|it| it.0 + 1);
    let words = starts.map(|at| text[at..].chars().take_while(|it| is_name(*it)).collect());
    words.collect()
}

#[test]
fn page_and_code_name_the_same_metrics() {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let code = fs::read_to_string(crate_root.join("src/core/stats.rs")).unwrap();
    let page = fs::read_to_string(crate_root.join("../../docs/OPERATIONS.md")).unwrap();
    assert_eq!(names(&code, '"'), names(&page, '`'));
}
