//! Tests the guide: that its links resolve, that the commands, metrics, codes and log lines that it
//! names exist, and that its reference of the document matches the parser.

use chestnutrack_document::key::Hash;
use chestnutrack_document::{Document, parse};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// A row of the reference table in `docs/document.md`.
struct Row {
    place: String,
    default: String,
    bounds: String,
}

/// Returns the root folder of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads a file, whose path is relative to the root folder; panics if that fails.
fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the paths of the guide's pages, `README.md` and `CONTRIBUTING.md`.
fn pages() -> Vec<PathBuf> {
    let entries = std::fs::read_dir(root().join("docs")).expect("the guide");
    let files = entries.map(|entry| entry.expect("a page").path());
    let mut pages: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|e| e == "md")).collect();
    pages.extend(["README.md", "CONTRIBUTING.md"].map(|name| root().join(name)));
    pages
}

/// Returns the targets of a page's links, without links to other sites.
fn links(text: &str) -> Vec<&str> {
    let starts = text.match_indices("](").map(|(index, _)| index + 2);
    let ends = starts.filter_map(|start| text[start..].split_once(')'));
    ends.map(|(link, _)| link).filter(|link| !link.contains("://")).collect()
}

/// Returns the anchor of a heading.
fn anchor(heading: &str) -> String {
    let kept = heading.trim().to_lowercase().replace(' ', "-");
    kept.chars().filter(|c| c.is_alphanumeric() || "-_".contains(*c)).collect()
}

#[test]
fn links_resolve() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a readable page");
        let folder = page.parent().expect("a folder");
        for link in links(&text) {
            let (file, section) = link.split_once('#').unwrap_or((link, ""));
            let target = if file.is_empty() { page.clone() } else { folder.join(file) };
            let found = std::fs::read_to_string(&target).is_ok_and(|text| {
                let headings = text.lines().filter(|line| line.starts_with('#'));
                let mut anchors = headings.map(|line| anchor(line.trim_start_matches('#')));
                section.is_empty() || anchors.any(|anchor| anchor == section)
            });
            if !found && !target.is_dir() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }

    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn every_page_that_the_summary_names_is_there_once() {
    let summary = read("docs/SUMMARY.md");

    let mut seen = BTreeSet::new();
    for link in links(&summary) {
        assert!(seen.insert(link), "{link} stands twice");
    }

    assert!(seen.len() >= 8);
}

#[test]
fn every_subcommand_named_in_the_guide_exists() {
    let subcommands = [
        ("chestnutrack ", &chestnutrack_cli::cmd::NAMES[..]),
        ("chestnutrack key ", &["new", "hash", "salt"][..]),
        ("chestnutrack-load ", &["send", "run", "compare", "crowd"][..]),
        ("chestnutrack-standin ", &["platform", "engine", "plain"][..]),
    ];
    let mut unknown = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a readable page");
        for command in commands(&text) {
            for (program, known) in subcommands {
                let Some(rest) = command.strip_prefix(program) else { continue };
                let word = rest.split([' ', '\n']).next().unwrap_or_default();
                let is_word = word.chars().all(|c| c.is_ascii_lowercase());
                if is_word && !word.is_empty() && !known.contains(&word) {
                    unknown.push(format!("{}: {command}", page.display()));
                }
            }
        }
    }

    assert!(unknown.is_empty(), "{unknown:#?}");
}

/// Returns the texts between single backticks and the lines of `sh` code blocks.
fn commands(text: &str) -> Vec<String> {
    let mut commands = Vec::new();
    let mut block = None;
    for line in text.lines() {
        if let Some(kind) = line.trim().strip_prefix("```") {
            block = if block.is_some() { None } else { Some(kind.to_owned()) };
            continue;
        }
        match block.as_deref() {
            Some("sh") => commands.push(line.trim().to_owned()),
            Some(_) => {}
            None => commands.extend(line.split('`').skip(1).step_by(2).map(str::to_owned)),
        }
    }
    commands
}

#[test]
fn every_subcommand_has_its_section() {
    let page = read("docs/command-line.md");

    for name in chestnutrack_cli::cmd::NAMES {
        assert!(page.contains(&format!("## `chestnutrack {name}`")), "{name}");
    }
}

/// Returns the concatenated sources of a crate. `area` is the crate's name or, for a metric, the
/// first word of the metric's name after the `chestnutrack_` prefix.
fn sources(area: &str) -> String {
    let mut text = String::new();
    // The client of the platform's object interface, in the crate `store`, records its metrics.
    let folder = if area == "platform" { "store" } else { area };
    let mut folders = vec![root().join("crates").join(folder).join("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a crate's sources") {
            let path = entry.expect("an entry").path();
            match path.is_dir() {
                true => folders.push(path),
                false => text += &std::fs::read_to_string(path).expect("a source file"),
            }
        }
    }
    text
}

#[test]
fn every_metric_in_the_guide_is_there() {
    let page = read("docs/operating.md");
    let names = page.split('`').filter_map(|text| text.strip_prefix("chestnutrack_"));

    let mut missing = Vec::new();
    for name in names.filter(|name| name.contains('_') && !name.contains(' ')) {
        let (area, rest) = name.split_once('_').expect("an area and a name");
        let text = sources(area);
        let short = rest.trim_end_matches("_total").trim_end_matches("_seconds");
        let forms =
            [format!("\"{rest}\""), format!("\"{short}\""), format!("\"chestnutrack_{name}\"")];
        if !forms.iter().any(|form| text.contains(form)) {
            missing.push(name);
        }
    }

    assert!(missing.is_empty(), "{missing:?}");
}

/// Returns the texts between backticks in the first column of the table under a heading.
fn first_column(page: &str, heading: &str) -> Vec<String> {
    let (_, section) = page.split_once(heading).expect("the heading");
    let rows = section.lines().skip(1).take_while(|line| !line.starts_with('#'));
    let rows = rows.filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|line| line.split('|').nth(1));
    cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

#[test]
fn every_refusal_code_and_log_line_in_the_guide_is_there() {
    let page = read("docs/operating.md");
    let codes = first_column(&page, "## What callers are refused for");
    let lines = first_column(&page, "## Logs");
    let text: String = ["entry", "fleet", "side", "platform"].map(sources).concat();

    let named = codes.iter().chain(&lines);
    let missing: Vec<_> = named.filter(|name| !text.contains(&format!("\"{name}\""))).collect();

    assert!(codes.len() >= 15 && lines.len() >= 10, "{codes:?} {lines:?}");
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_cause_line_and_metric_of_the_operations_page_is_there() {
    let page = read("docs/OPERATIONS.md");
    // The adapter to the users' platform is a folder of its own.
    let text = ["forward", "store", "process", "../platform"].map(sources).concat();
    let mut named = first_column(&page, "## Refusals");
    named.extend(first_column(&page, "## Log lines"));
    let metrics = first_column(&page, "## Metrics").into_iter();
    let metrics =
        metrics.filter_map(|name| Some(name.strip_prefix("chestnutrack_forward_")?.to_owned()));
    named.extend(metrics);

    let missing: Vec<_> =
        named.iter().filter(|name| !text.contains(&format!("\"{name}\""))).collect();

    assert!(named.len() >= 50, "{named:?}");
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_cause_that_direct_hosts_name_is_on_the_operations_page() {
    let page = read("docs/OPERATIONS.md");
    let text = sources("forward");
    let names = |start: &str, end: &str| -> Vec<String> {
        let found = text.split(start).skip(1).filter_map(|rest| rest.split_once(end));
        found.map(|(name, _)| name.to_owned()).collect()
    };
    let causes = names("Cause::", ",").into_iter();
    let causes: Vec<String> = causes
        .filter_map(|arm| Some(arm.split_once(" => \"")?.1.trim_end_matches('"').to_owned()))
        .collect();

    let missing: Vec<_> =
        causes.iter().filter(|cause| !page.contains(&format!("`{cause}`"))).collect();

    assert!(causes.len() >= 12, "{causes:?}");
    assert!(missing.is_empty(), "{missing:?}");
}

/// Returns the rows of the reference table.
fn reference() -> Vec<Row> {
    let page = read("docs/document.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        Row {
            place: cells[1].trim_matches('`').to_owned(),
            default: cells[3].to_owned(),
            bounds: cells[4].to_owned(),
        }
    };
    rows.map(row).collect()
}

/// Returns the example document of the reference page.
fn example() -> Value {
    let page = read("docs/document.md");
    let (_, rest) = page.split_once("```json\n").expect("an example");
    let (json, _) = rest.split_once("```").expect("its end");
    serde_json::from_str(json).expect("JSON")
}

/// Adds every place of a document to `out`, with `[]` for list elements.
fn places(value: &Value, place: &str, out: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let place = if place.is_empty() { name.clone() } else { format!("{place}.{name}") };
                out.insert(place.clone());
                places(value, &place, out);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                places(element, &format!("{place}[]"), out);
            }
        }
        _ => {}
    }
}

/// Returns the JSON pointer of a place. `[]` becomes the first element.
fn pointer(place: &str) -> String {
    format!("/{}", place.replace("[]", "/0").replace('.', "/"))
}

#[test]
fn the_example_is_accepted() {
    let document = parse(example().to_string().as_bytes()).expect("no findings");

    let hash = Hash::of(&document.key_salt, "an example key, not for use").to_hex();
    assert_eq!(document.organisations[0].keys[0].hash, hash);
}

#[test]
fn the_reference_has_every_field_and_no_other() {
    let document: Document = serde_json::from_value(example()).expect("a document");
    let mut known = BTreeSet::new();
    places(&serde_json::to_value(document).expect("JSON"), "", &mut known);

    let documented: BTreeSet<String> = reference().into_iter().map(|row| row.place).collect();

    assert_eq!(documented, known);
}

#[test]
fn the_defaults_are_those_of_the_parser() {
    for row in reference() {
        let default = match row.default.as_str() {
            "required" | "see below" => continue,
            "none" => Value::Null,
            text => serde_json::from_str(text).expect("a default"),
        };
        let mut without = example();
        let (parent, field) = row.place.rsplit_once('.').expect("a field of a part");
        let holder = without.pointer_mut(&pointer(parent)).expect("the part");
        holder.as_object_mut().expect("an object").remove(field);
        let document: Document = serde_json::from_value(without).expect("a document");
        let filled = serde_json::to_value(document).expect("JSON");

        assert_eq!(filled.pointer(&pointer(&row.place)), Some(&default), "{}", row.place);
    }
}

#[test]
fn required_fields_are_required() {
    for row in reference().into_iter().filter(|row| row.default == "required") {
        let mut without = example();
        let (parent, field) = row.place.rsplit_once('.').unwrap_or(("", &row.place));
        let holder = match parent {
            "" => Some(&mut without),
            parent => without.pointer_mut(&pointer(parent)),
        };
        holder.and_then(Value::as_object_mut).expect("an object").remove(field);

        assert!(serde_json::from_value::<Document>(without).is_err(), "{}", row.place);
    }
}

#[test]
fn the_bounds_are_those_of_the_check() {
    let mut checked = 0;
    for row in reference() {
        let Some((low, high)) = row.bounds.split_once(" to ") else { continue };
        let (Ok(low), Ok(high)) = (low.parse::<u64>(), high.parse::<u64>()) else { continue };
        for (number, allowed) in [(low, true), (high, true), (low - 1, false), (high + 1, false)] {
            let mut changed = example();
            let target = pointer(&row.place);
            let field = changed.pointer_mut(&target);
            match field {
                Some(field) => *field = number.into(),
                None => {
                    let (parent, name) = target.rsplit_once('/').expect("a field");
                    changed.pointer_mut(parent).expect("the part")[name] = number.into();
                }
            }
            let verdict = parse(changed.to_string().as_bytes());
            assert_eq!(verdict.is_ok(), allowed, "{} = {number}: {verdict:?}", row.place);
        }
        checked += 1;
    }

    assert!(checked >= 14, "{checked}");
}
