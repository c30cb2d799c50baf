"""The command line's settings."""

from clayfield.base.settings import Setting, whole_number

SETTINGS = (
    Setting(
        "box_urls",
        lambda text: [url.rstrip("/") for url in text.split(",") if url],
        "http://127.0.0.1:7301",
        "URLs of the boxes to ask, separated by commas",
    ),
    Setting("token", str, "", "the operator's or member's bearer token"),
    Setting("authority", str, "", "file of the certificate that signs boxes"),
    Setting(
        "timeout_s",
        whole_number(1, 3600),
        "30",
        "longest wait for an answer",
    ),
)
