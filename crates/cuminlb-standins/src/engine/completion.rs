//! Builds the answers of a model: the same text for the same prompt.

use serde_json::{Value, json};

/// Returns the token at an index of the answer to a request.
pub(super) fn token(index: u64) -> String {
    format!("token{index} ")
}

/// Returns one chunk of a streamed answer.
pub(super) fn chunk(request_id: &str, model: &str, index: u64) -> String {
    let chunk = json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": token(index) } }],
    });
    format!("data: {chunk}\n\n")
}

/// Returns a whole answer.
pub(super) fn whole(request_id: &str, model: &str, tokens: u64) -> Value {
    let content: String = (0..tokens).map(token).collect();
    json!({
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
        "usage": { "completion_tokens": tokens },
    })
}
