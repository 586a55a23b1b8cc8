use super::{Cell, HOSTS_PER_CELL};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("host-{number}")).collect()
}

#[test]
fn a_fleet_of_one_cell_is_whole() {
    let cell = Cell::of("host-1", HOSTS_PER_CELL);

    assert!(cell.is_whole_fleet());
    assert!(names(100).iter().all(|name| cell.contains(name)));
}

#[test]
fn each_host_belongs_to_one_cell_of_bounded_size() {
    for count in [33, 64, 100, 300, 780] {
        let hosts = names(count);
        let cells: Vec<Cell> = hosts.iter().map(|name| Cell::of(name, count)).collect();

        let sizes =
            cells.iter().map(|cell| hosts.iter().filter(|name| cell.contains(name)).count());
        let sizes: Vec<usize> = sizes.collect();

        assert!(
            sizes.iter().all(|size| (1..=2 * HOSTS_PER_CELL).contains(size)),
            "{count}: {sizes:?}"
        );
        assert!(hosts.iter().zip(&cells).all(|(name, cell)| cell.contains(name)));
    }
}

#[test]
fn a_few_more_hosts_move_none_to_another_cell() {
    let moved = names(300).iter().filter(|name| Cell::of(name, 300) != Cell::of(name, 310)).count();

    assert_eq!(moved, 0);
}

#[test]
fn a_fleet_that_outgrows_its_cells_divides_each() {
    let (old_cell, new_cell) = (Cell::of("host-1", 512), Cell::of("host-1", 513));

    assert_eq!(old_cell.index_and_count().1 * 2, new_cell.index_and_count().1);
    assert!(names(600).iter().all(|name| !new_cell.contains(name) || old_cell.contains(name)));
}
