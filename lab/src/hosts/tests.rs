use super::*;

#[test]
fn a_plan_has_its_calls_and_is_read_back_from_its_prompt() {
    for words in 1..40 {
        for calls in 0..=words {
            let plan = Plan {
                name: "n".into(),
                words,
                calls,
            };
            let placed = (0..words).filter(|w| plan.has_call(*w)).count();
            assert_eq!(placed as u32, calls, "{words} words");
            let body = json!({ "messages": [{ "content": plan.prompt() }] }).to_string();
            assert_eq!(Plan::read(&body, "id"), plan);
        }
    }
}
