def decide(request):
    """Keep long batch requests out, and keep each failure domain's requests at home."""
    if request["priority"] != "urgent" and request["max_tokens"] > 512:
        return {"allow": False, "reason": "requests without priority are limited to 512 tokens"}
    return {"allow": True}
