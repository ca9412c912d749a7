//! The answer that the stand-in engine gives, as a function of its input, so that every byte that
//! reaches a caller can be checked.

use xxhash_rust::xxh3::xxh3_64_with_seed;

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

/// The whole answer of `tokens` tokens.
pub fn whole_answer(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| answer_token(model, prompt, index)).collect()
}

/// Tokens in a prompt, as the stand-in counts them: four bytes each.
pub fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() as u32).div_ceil(4)
}
