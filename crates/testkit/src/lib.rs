//! Shared helpers for the tests of all crates: the macro that names each case of a table.

pub use rstest;

/// Declares one named test per row, each calling the same check function.
///
/// ```ignore
/// cases! { check_parse {
///     empty_batch: ("", "expected a statement");
///     two_changes: ("drop service a; drop service b", "ok");
/// } }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident { $($name:ident: ($($argument:expr),* $(,)?));* $(;)? }) => {
        $(
            #[$crate::rstest::rstest]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}
