//! Runs the `demo` subcommand as a process of its own and checks what it prints.

use std::process::Command;

macro_rules! demo_case {
    ($name:ident, $deployment:literal, $customers:expr) => {
        #[test]
        fn $name() {
            let output = Command::new(env!("CARGO_BIN_EXE_buckthornturn-standin"))
                .args(["demo", "--seconds", "1", "--deployment", $deployment])
                .output()
                .unwrap();
            let text = String::from_utf8_lossy(&output.stdout);
            assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
            assert!(text.contains("keys seen by targets 0"), "{text}");
            assert!(text.contains("differing 0, unchecked 0;"), "{text}");
            assert!(!text.contains("bodies: compared 0,"), "{text}");
            assert!(text.contains("executed twice 0, wrong answers 0"), "{text}");
            for customer in $customers {
                assert!(text.contains(customer), "{text}");
            }
        }
    };
}

demo_case!(
    heredia_serves_every_customer,
    "heredia",
    ["diocese-heredia", "parish-barva", "mourners-abroad"]
);
demo_case!(
    shrestha_sunar_serves_every_customer,
    "shrestha-sunar",
    ["kathmandu-counters", "gorkha-counter", "sellers-app"]
);
