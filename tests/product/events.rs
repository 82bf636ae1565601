//! The catalogue of log events (docs/EVENTS.md) matches the code.

use std::collections::BTreeSet;

use runrail::logic::LogCode;

#[test]
fn the_catalogue_lists_every_event_with_its_level_and_title() {
    let catalogue = std::fs::read_to_string("docs/EVENTS.md").expect("the catalogue");
    let mut listed: BTreeSet<String> = catalogue
        .lines()
        .filter(|l| l.starts_with("| E"))
        .map(|l| {
            l.split('|')
                .skip(1)
                .take(3)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    for code in LogCode::ALL {
        let row = format!("E{} {} {}", code.number(), code.level(), code.title());
        assert!(listed.remove(&row), "docs/EVENTS.md lacks: {row}");
    }
    assert!(
        listed.is_empty(),
        "docs/EVENTS.md lists events that the code lacks: {listed:?}"
    );
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<_> = LogCode::ALL.iter().map(|c| c.number()).collect();
    assert_eq!(numbers.len(), LogCode::ALL.len());
}

#[test]
fn every_event_is_written_somewhere() {
    let mut code = String::new();
    let mut folders = vec![std::path::PathBuf::from("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                code += &std::fs::read_to_string(path).expect("a file");
            }
        }
    }
    for event in LogCode::ALL {
        let name = format!("LogCode::{event:?}");
        let written = code.match_indices(&name).any(|(at, _)| {
            let next = code[at + name.len()..].chars().next();
            !next.is_some_and(char::is_alphanumeric)
        });
        assert!(written, "{name} is defined but never logged");
    }
}
