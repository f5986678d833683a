//! Builds the model's responses; the text depends only on the number of tokens.

use serde_json::{Value, json};

/// Returns the token at an index of the response.
pub(super) fn token(index: u64) -> String {
    format!("token{index} ")
}

/// Returns one server-sent event of a streamed response.
pub(super) fn chunk(request_id: &str, model: &str, index: u64) -> String {
    let chunk = json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": token(index) } }],
    });
    format!("data: {chunk}\n\n")
}

/// Returns a complete, buffered response.
pub(super) fn completion(request_id: &str, model: &str, tokens: u64) -> Value {
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
