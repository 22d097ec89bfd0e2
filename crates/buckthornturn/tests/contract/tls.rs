//! TLS on the listeners for operators and for the mesh, on the real binary.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::SanType;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::WRITE_TOKEN;
use crate::deployment::run_binary;

/// Creates a certificate authority; returns its certificate in PEM and the issuer that signs with it.
fn authority() -> (String, Issuer<'static, KeyPair>) {
    let key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let certificate = params.self_signed(&key).unwrap();
    (certificate.pem(), Issuer::new(params, key))
}

/// Issues a certificate for the loopback address; returns it and its private key, both in PEM.
fn host_certificate(issuer: &Issuer<'static, KeyPair>) -> (String, String) {
    let key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.subject_alt_names = vec![SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST))];
    let certificate = params.signed_by(&key, issuer).unwrap();
    (certificate.pem(), key.serialize_pem())
}

/// TLS settings for the listeners for operators and for the mesh, with a new certificate that is reloaded every second.
fn tls_settings(
    deployment: &Deployment,
    name: &str,
    issuer: &Issuer<'static, KeyPair>,
    authority: &str,
) -> serde_json::Value {
    let (certificate, key) = host_certificate(issuer);
    let certificate = deployment.write_file(&format!("{name}.pem"), &certificate);
    let key = deployment.write_file(&format!("{name}.key"), &key);
    let pair = json!({ "certificate": certificate, "key": key });
    let mesh = json!({ "certificate": certificate, "key": key, "authority": authority });
    json!({ "tls": { "operators": pair, "mesh": mesh, "reload_seconds": 1 } })
}

#[test]
fn operators_use_tls_and_hosts_authenticate_each_other() {
    let mut deployment = Deployment::start("tls");
    deployment.apply_configuration();
    let (authority_pem, issuer) = authority();
    let authority_file = deployment.write_file("authority.pem", &authority_pem);
    for (host, domain) in [("s1", "a"), ("s2", "b")] {
        let settings = tls_settings(&deployment, host, &issuer, &authority_file);
        deployment.start_host(host, domain, settings);
    }
    let address = deployment.hosts[2].operators.to_string();
    let call = |authority: &str| {
        run_binary(&["status", "--json", "--ca", authority, "--host", &address], WRITE_TOKEN)
    };
    let members = deployment.wait_for("the other host with a certificate", || {
        let output = call(&authority_file);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let status: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        let members = status["members"].as_array()?.clone();
        members.iter().any(|m| m["host"] == "s2" && m["health"] == "live").then_some(members)
    });
    let plain: Vec<_> = members.iter().filter(|m| m["host"] == "h1" || m["host"] == "h2").collect();
    assert!(plain.iter().all(|member| member["health"] != "live"), "{plain:?}");
    let (other_pem, _) = authority();
    let other_file = deployment.write_file("other.pem", &other_pem);
    assert_eq!(call(&other_file).status.code(), Some(1));
    assert_eq!(run_binary(&["status", "--host", &address], WRITE_TOKEN).status.code(), Some(1));
}

#[test]
fn a_renewed_certificate_is_loaded_without_a_restart() {
    let mut deployment = Deployment::start("tls-renewed");
    let (first_pem, first_issuer) = authority();
    let (second_pem, second_issuer) = authority();
    let first_file = deployment.write_file("first.pem", &first_pem);
    let second_file = deployment.write_file("second.pem", &second_pem);
    let settings = tls_settings(&deployment, "s1", &first_issuer, &first_file);
    deployment.start_host("s1", "a", settings);
    let address = deployment.hosts[2].operators.to_string();
    let call = |authority: &str| {
        let arguments = ["status", "--ca", authority, "--host", &address];
        run_binary(&arguments, WRITE_TOKEN).status.code()
    };
    assert_eq!(call(&first_file), Some(0));
    let (certificate, key) = host_certificate(&second_issuer);
    deployment.write_file("s1.pem", &certificate);
    deployment.write_file("s1.key", &key);
    deployment
        .wait_for("the renewed certificate", || (call(&second_file) == Some(0)).then_some(()));
    assert_eq!(call(&first_file), Some(1));
}
