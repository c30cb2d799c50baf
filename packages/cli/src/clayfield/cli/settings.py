"""Settings of the command line."""

from clayfield.base.settings import Setting, int_in_range

SETTINGS = (
    Setting(
        "box_urls",
        lambda text: [url.rstrip("/") for url in text.split(",") if url],
        "http://127.0.0.1:7301",
        "base URLs of the boxes to send requests to, separated by commas",
    ),
    Setting("token", str, "", "bearer token of the operator or member"),
    Setting(
        "authority",
        str,
        "",
        "file of the authority that signs the boxes' certificates",
    ),
    Setting(
        "timeout_s",
        int_in_range(1, 3600),
        "30",
        "time limit for a response, in seconds",
    ),
)
