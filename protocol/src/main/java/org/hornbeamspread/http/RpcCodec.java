package org.hornbeamspread.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** The encodings of request and response bodies. */
public enum RpcCodec {
    /** Protobuf's binary form. */
    PROTOBUF("application/x-protobuf") {
        @Override
        public byte[] encode(Message message) {
            return message.toByteArray();
        }

        @Override
        Message.Builder merge(Message.Builder builder, byte[] body) throws InvalidProtocolBufferException {
            return builder.mergeFrom(body);
        }
    },
    /** Protobuf's JSON mapping; a body with unknown fields is refused. */
    JSON("application/json") {
        @Override
        public byte[] encode(Message message) {
            try {
                return JsonFormat.printer()
                        .alwaysPrintFieldsWithNoPresence()
                        .print(message)
                        .getBytes(StandardCharsets.UTF_8);
            } catch (InvalidProtocolBufferException e) {
                throw FailureException.of(e);
            }
        }

        @Override
        Message.Builder merge(Message.Builder builder, byte[] body) throws InvalidProtocolBufferException {
            JsonFormat.parser().merge(new String(body, StandardCharsets.UTF_8), builder);
            return builder;
        }
    };

    private final String contentType;

    RpcCodec(String contentType) {
        this.contentType = contentType;
    }

    /** The value of the Content-Type header. */
    public String contentType() {
        return contentType;
    }

    /** The codec for a Content-Type header; JSON when the header is missing or names another type. */
    public static RpcCodec forContentType(String contentType) {
        return contentType != null && contentType.startsWith(PROTOBUF.contentType) ? PROTOBUF : JSON;
    }

    /** Encodes a message. */
    public abstract byte[] encode(Message message);

    /** Decodes a message. Fails with INVALID_REQUEST. */
    @SuppressWarnings("unchecked")
    public <M extends Message> M decode(M prototype, byte[] body) {
        try {
            return (M) merge(prototype.newBuilderForType(), body).build();
        } catch (InvalidProtocolBufferException e) {
            throw new FailureException(FailureType.INVALID_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    abstract Message.Builder merge(Message.Builder builder, byte[] body) throws InvalidProtocolBufferException;
}
