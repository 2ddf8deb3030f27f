//! Selection of routes, and the distribution of requests over a split route.

use model::{ConfigVersion, Millis, ServiceName};
use proptest::prelude::*;
use routing::{RequestLimits, RouteBuilder, RouteTarget, SplitCursor, TableBuilder};
use testkit::cases;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 16_384,
    body_bytes: 1_048_576,
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

fn service(name: &str) -> ServiceName {
    name.parse().expect("valid name")
}

fn target(name: &str, weight: f64) -> RouteTarget {
    RouteTarget { service: service(name), weight }
}

fn check_find(host: &str, path: &str, expected: Option<&str>) {
    let route = |name: &str, prefix: &str| {
        RouteBuilder::new(name.into(), prefix.into(), vec![target("a", 1.0)]).build()
    };
    let table = TableBuilder::new(ConfigVersion(1), LIMITS)
        .route("one.example", route("root", "/"))
        .route("one.example", route("orders", "/orders/"))
        .route("one.example", route("old", "/orders/old/"))
        .route("two.example", route("pay", "/pay/"))
        .host("empty.example")
        .build();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

cases! { check_find {
    longest_prefix: ("one.example", "/orders/old/7", Some("old"));
    shorter_prefix: ("one.example", "/orders/older/7", Some("orders"));
    prefix_itself: ("one.example", "/orders/", Some("orders"));
    without_trailing_slash: ("one.example", "/orders", Some("root"));
    root: ("one.example", "/", Some("root"));
    no_root: ("two.example", "/other/", None);
    host_in_upper_case: ("ONE.Example", "/orders/1", Some("orders"));
    host_with_port: ("two.example:8080", "/pay/1", Some("pay"));
    unknown_host: ("three.example", "/", None);
    host_without_routes: ("empty.example", "/", None);
    path_without_slash: ("one.example", "*", None);
    empty_path: ("one.example", "", None);
} }

proptest! {
    #[test]
    fn any_sequence_of_requests_follows_the_weights(
        weights in prop::collection::vec(1_u32..100, 2..5),
        length in 1_usize..400,
    ) {
        let targets: Vec<RouteTarget> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| target(&format!("s{index}"), f64::from(*weight)))
            .collect();
        let route = RouteBuilder::new("r".into(), "/".into(), targets.clone()).build();
        let mut cursor = SplitCursor::default();
        let mut counts = vec![0_usize; targets.len()];
        for _ in 0..length {
            let chosen = cursor.next(&route).clone();
            let index = targets.iter().position(|t| t.service == chosen).expect("a target of the route");
            counts[index] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let share = length as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((*count as f64 - share).abs() <= weights.len() as f64, "{counts:?}");
        }
    }

    /// Guards against credits that outlive the weights under which they were earned: after a change to
    /// smaller weights, a service that should get one request in a hundred got most of them.
    #[test]
    fn shares_follow_the_weights_after_any_change(
        phases in prop::collection::vec(
            (prop::collection::vec((0_usize..5, 0_u32..100), 2..5), -3_i32..4, 0_usize..250),
            1..8,
        ),
    ) {
        let mut cursor = SplitCursor::default();
        for (parts, scale, length) in phases {
            let mut targets: Vec<RouteTarget> = Vec::new();
            for (index, weight) in parts {
                let name = format!("s{index}");
                if targets.iter().all(|known| known.service.as_str() != name) {
                    targets.push(target(&name, f64::from(weight) * 10.0_f64.powi(scale)));
                }
            }
            let total: f64 = targets.iter().map(|target| target.weight).sum();
            if total <= 0.0 {
                continue;
            }
            let route = RouteBuilder::new("r".into(), "/".into(), targets.clone()).build();
            let mut counts = vec![0_usize; targets.len()];
            for _ in 0..length {
                let chosen = cursor.next(&route).clone();
                let place = targets.iter().position(|target| target.service == chosen);
                counts[place.expect("a target of the route")] += 1;
            }
            for (count, target) in counts.iter().zip(&targets) {
                let share = length as f64 * target.weight / total;
                let allowed = targets.len() as f64 + 1.0;
                prop_assert!((*count as f64 - share).abs() <= allowed, "{counts:?} of {length}");
                prop_assert!(target.weight > 0.0 || *count == 0);
            }
        }
    }

    #[test]
    fn finding_never_panics(host in ".*", path in ".*") {
        let table = TableBuilder::new(ConfigVersion(1), LIMITS).host(&host).build();
        prop_assert!(table.find(&host, &path).is_none());
    }
}
