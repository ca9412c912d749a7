//! Authentication between processes: Ed25519 keys derived from a secret in the settings, sent as
//! raw public keys (RFC 7250), so that no certificate has to be issued, stored or renewed.

use eyre::{Result, WrapErr, eyre};
use ring::hmac;
use rustls::{
    CertificateError, ClientConfig, DigitallySignedStruct, DistinguishedName, Error, ServerConfig,
    SignatureScheme,
    client::{
        AlwaysResolvesClientRawPublicKeys,
        danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    },
    crypto::{
        CryptoProvider, WebPkiSupportedAlgorithms, ring as ring_provider,
        verify_tls13_signature_with_raw_key,
    },
    pki_types::{
        CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, SubjectPublicKeyInfoDer,
        UnixTime,
    },
    server::{
        AlwaysResolvesServerRawPublicKeys,
        danger::{ClientCertVerified, ClientCertVerifier},
    },
    sign::CertifiedKey,
    version::TLS13,
};
use std::{fmt, sync::Arc};

/// Size of a key in bytes.
const KEY_BYTES: usize = 32;
/// DER prefix of an Ed25519 seed in a PKCS #8 key (RFC 8410).
const PKCS8_PREFIX: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// Key derivation context of the stateless reset key.
const RESET_CONTEXT: &[u8] = b"plantain stateless reset";
/// Key derivation context of the connection id key.
const CID_CONTEXT: &[u8] = b"plantain connection ids";

/// This process's key, and a second key that peers may use while keys are rotated.
#[derive(Clone)]
pub struct PeerKeys {
    own: [u8; KEY_BYTES],
    second: Option<[u8; KEY_BYTES]>,
}

// Keys must not reach a log by way of a settings struct.
impl fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKeys(hidden)")
    }
}

impl PeerKeys {
    /// Parses this process's key, and one that peers may also use while keys are rotated.
    pub fn new(own: &str, second: Option<&str>) -> Result<Self, String> {
        Ok(Self {
            own: parse_key("--peer-key", own)?,
            second: second.map(|key| parse_key("--accept-key", key)).transpose()?,
        })
    }

    /// Whether peers may use a second key.
    pub fn has_second(&self) -> bool {
        self.second.is_some()
    }

    /// Stateless reset key. It depends on this process's key only, so that a restarted process can
    /// reset the connections of its predecessor.
    pub fn reset_key(&self) -> hmac::Key {
        let seed = hmac::sign(&hmac::Key::new(hmac::HMAC_SHA256, &self.own), RESET_CONTEXT);
        hmac::Key::new(hmac::HMAC_SHA256, seed.as_ref())
    }

    /// Key of the connection id hash, by which a restarted process recognizes the connection ids of
    /// its predecessor.
    pub fn cid_key(&self) -> u64 {
        let key = hmac::Key::new(hmac::HMAC_SHA256, &self.own);
        let tag = hmac::sign(&key, CID_CONTEXT);
        let (head, _) = tag.as_ref().split_first_chunk().expect("an HMAC tag has 32 bytes");
        u64::from_le_bytes(*head)
    }

    /// TLS settings of the connecting end.
    pub fn client_config(&self) -> Result<ClientConfig> {
        let certified = certified_key(&self.own)?;
        let verifier = Arc::new(KeyVerifier::new(self)?);
        let resolver = Arc::new(AlwaysResolvesClientRawPublicKeys::new(certified));
        let config = ClientConfig::builder_with_provider(Arc::new(provider()))
            .with_protocol_versions(&[&TLS13])
            .wrap_err("set up TLS")?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_cert_resolver(resolver);
        Ok(config)
    }

    /// TLS settings of the accepting end.
    pub fn server_config(&self) -> Result<ServerConfig> {
        let certified = certified_key(&self.own)?;
        let verifier = Arc::new(KeyVerifier::new(self)?);
        let resolver = Arc::new(AlwaysResolvesServerRawPublicKeys::new(certified));
        let config = ServerConfig::builder_with_provider(Arc::new(provider()))
            .with_protocol_versions(&[&TLS13])
            .wrap_err("set up TLS")?
            .with_client_cert_verifier(verifier)
            .with_cert_resolver(resolver);
        Ok(config)
    }
}

fn provider() -> CryptoProvider {
    ring_provider::default_provider()
}

fn parse_key(flag: &str, text: &str) -> Result<[u8; KEY_BYTES], String> {
    let mut key = [0; KEY_BYTES];
    match hex::decode_to_slice(text.trim(), &mut key) {
        Ok(()) => Ok(key),
        Err(_) => Err(format!("{flag}: expected {} hexadecimal digits", KEY_BYTES * 2)),
    }
}

fn certified_key(seed: &[u8; KEY_BYTES]) -> Result<Arc<CertifiedKey>> {
    let der = [PKCS8_PREFIX.as_slice(), seed].concat();
    let der = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(der));
    let key = ring_provider::sign::any_supported_type(&der).wrap_err("read peer key")?;
    let public = key.public_key().ok_or_else(|| eyre!("peer key has no public half"))?;
    let certificate = CertificateDer::from(public.to_vec());
    Ok(Arc::new(CertifiedKey::new(vec![certificate], key)))
}

/// Accepts only peers that prove possession of one of the configured keys.
#[derive(Debug)]
struct KeyVerifier {
    accepted: Vec<Vec<u8>>,
    algorithms: WebPkiSupportedAlgorithms,
}

impl KeyVerifier {
    fn new(keys: &PeerKeys) -> Result<Self> {
        let seeds = [Some(keys.own), keys.second];
        let accepted = seeds
            .iter()
            .flatten()
            .map(|seed| Ok(certified_key(seed)?.cert[0].to_vec()))
            .collect::<Result<_>>()?;
        Ok(Self { accepted, algorithms: provider().signature_verification_algorithms })
    }

    fn check(&self, presented: &CertificateDer<'_>) -> Result<(), Error> {
        if self.accepted.iter().any(|key| key.as_slice() == presented.as_ref()) {
            return Ok(());
        }
        Err(Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }

    fn check_signature(
        &self,
        message: &[u8],
        presented: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let key = SubjectPublicKeyInfoDer::from(presented.as_ref());
        verify_tls13_signature_with_raw_key(message, &key, signed, &self.algorithms)
    }
}

impl ServerCertVerifier for KeyVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.check(end_entity).map(|()| ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General("TLS 1.2 is not used".into()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.check_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }

    fn requires_raw_public_keys(&self) -> bool {
        true
    }
}

impl ClientCertVerifier for KeyVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.check(end_entity).map(|()| ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General("TLS 1.2 is not used".into()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.check_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }

    fn requires_raw_public_keys(&self) -> bool {
        true
    }
}
