//! Answers of the stand-in engine. They are a pure function of model and prompt, so that callers
//! can check every byte that they receive.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Vocabulary of the answers; a token is a word followed by hash bits.
const WORDS: [&str; 16] = [
    "gate", "stamp", "route", "shrine", "hall", "dock", "slot", "badge", "beam", "truss", "panel",
    "crew", "desk", "path", "bell", "lamp",
];

/// Token `index` of the answer of `model` to `prompt`.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    let seed = xxh3_64_with_seed(model.as_bytes(), u64::from(index));
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    format!("{}{} ", WORDS[(hash % 16) as usize], hash >> 48)
}

/// The complete answer of `model` to `prompt` with `tokens` tokens.
pub fn expected_answer(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| answer_token(model, prompt, index)).collect()
}

/// Number of tokens in a prompt: one per four bytes, rounded up.
pub fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() as u32).div_ceil(4)
}
